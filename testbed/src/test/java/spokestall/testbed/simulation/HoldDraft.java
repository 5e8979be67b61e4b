package spokestall.testbed.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.change.ChangeDraft;
import spokestall.testbed.fleet.OperatorFleet;

/** An evacuation of a zone, or its end, as the platform's calls make it: without a change id. */
record HoldDraft(String zone, boolean begin) implements ChangeDraft {
    @Override
    public Drafted draftOn(final JsonNode tree) {
        if (tree.path("holds").has(zone) == begin) {
            return new Drafted.Unchanged();
        }
        final ObjectNode patch = OperatorFleet.JSON.createObjectNode();
        patch.putObject("holds").set(zone, begin ? OperatorFleet.JSON.createObjectNode() : NullNode.instance);
        return new Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
    }

    @Override
    public boolean canBeSuperseded() {
        return true;
    }

    @Override
    public boolean isSupersededBy(final ConfigurationChange committed) {
        final String json = new String(committed.json(), StandardCharsets.UTF_8);
        return json.contains("\"holds\"") && json.contains("\"" + zone + "\"");
    }
}
