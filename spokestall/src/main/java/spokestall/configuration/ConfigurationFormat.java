package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The format of a configuration: what operators send and nodes store. Its meaning is {@link Configuration}.
 *
 * <p>Implementations have no state and may be called on any thread.
 */
public interface ConfigurationFormat {
    /**
     * Validates a configuration.
     *
     * @param tree the whole configuration
     * @param valid a configuration that was found valid; nodes that both trees share need not be validated again by themselves
     * @return all errors, empty if there is none; the caller may add to the list
     */
    List<ConfigurationValidator.ValidationError> check(JsonNode tree, JsonNode valid);

    /**
     * Reads a valid configuration.
     *
     * @param previous the version before, whose objects may be reused where nothing changed; or null
     */
    Configuration read(long version, JsonNode tree, Configuration previous);
}
