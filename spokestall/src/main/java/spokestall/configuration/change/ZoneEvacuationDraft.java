package spokestall.configuration.change;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;

/**
 * A request without a change id that begins or ends the evacuation of a zone. Committed changes of the same zone's evacuation are the
 * same or conflict with it; replacing the whole configuration keeps the evacuations.
 *
 * @param zone the zone's name
 * @param begin whether the evacuation begins
 */
public record ZoneEvacuationDraft(String zone, boolean begin) implements ChangeDraft {
    @Override
    public Drafted draftOn(final JsonNode tree) {
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        patch.putObject(ConfigurationFormat.EVACUATIONS)
                .set(zone, begin ? ConfigurationStore.JSON.createObjectNode() : NullNode.instance);
        return new Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
    }

    @Override
    public Relation relationTo(final ConfigurationChange committed) {
        if (committed.kind() == ConfigurationChange.Kind.PUT) {
            return Relation.UNRELATED;
        }
        final JsonNode evacuations = readPatch(committed).path(ConfigurationFormat.EVACUATIONS);
        if (!evacuations.has(zone)) {
            return Relation.UNRELATED;
        }
        return evacuations.hasNonNull(zone) == begin ? Relation.SAME : Relation.CONFLICTING;
    }

    private static JsonNode readPatch(final ConfigurationChange committed) {
        try {
            return ConfigurationStore.JSON.readTree(committed.json());
        } catch (final IOException e) {
            throw new IllegalStateException("a committed change is not JSON: " + committed.changeId(), e);
        }
    }
}
