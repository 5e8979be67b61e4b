package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** How a configuration is written down: the form that operators send and nodes keep. What it means is {@link Configuration}'s. */
public interface ConfigurationFormat {
    /** All that is wrong with a whole configuration; what it shares with a good one need not be checked again. */
    List<ConfigurationValidator.ValidationError> check(JsonNode tree, JsonNode good);

    /** Makes a version ready for use; what did not change may be taken from the one before, which may be null. */
    Configuration read(long version, JsonNode tree, Configuration before);
}
