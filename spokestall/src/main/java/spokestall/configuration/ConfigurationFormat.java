package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * A JSON format of configurations, in which operators send them and nodes store them. {@link #read} converts a configuration in
 * this format to a {@link Configuration}.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface ConfigurationFormat {
    /** The member with the evacuated zones by name, in the configurations of every format. */
    String EVACUATIONS = "holds";

    /**
     * Validates a configuration.
     *
     * @param tree the whole configuration
     * @param valid a configuration that was validated before; nodes that both trees share need not be validated again on their own
     * @return all errors, empty if the configuration is valid; the caller may add to the list
     */
    List<ConfigurationValidator.ValidationError> check(JsonNode tree, JsonNode valid);

    /**
     * Reads a valid configuration.
     *
     * @param previous the previous version, whose objects may be reused for unchanged parts, or null
     */
    Configuration read(long version, JsonNode tree, Configuration previous);
}
