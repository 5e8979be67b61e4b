package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** JSON merge patch (RFC 7396) that shares what does not change with the tree it was made from. */
public final class MergePatch {
    private MergePatch() {}

    /** Example: {@code MergePatch.apply(tree, patch)}; null in the patch takes a member away. */
    public static JsonNode apply(final JsonNode target, final JsonNode patch) {
        if (!patch.isObject()) {
            return patch;
        }
        final ObjectNode made = JsonNodeFactory.instance.objectNode();
        if (target != null && target.isObject()) {
            made.setAll((ObjectNode) target);
        }
        patch.fields().forEachRemaining(e -> {
            if (e.getValue().isNull()) {
                made.remove(e.getKey());
            } else {
                made.set(e.getKey(), apply(made.get(e.getKey()), e.getValue()));
            }
        });
        return made;
    }
}
