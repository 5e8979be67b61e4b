package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON merge patch (RFC 7396). The result shares all nodes that the patch doesn't change with the target, so that a comparison
 * by identity finds the changed nodes.
 */
public final class MergePatch {
    private MergePatch() {}

    /**
     * Returns the patched tree; neither argument is modified.
     *
     * @param target the tree to patch, or null
     * @param patch the patch; a null value removes the member
     */
    public static JsonNode apply(final JsonNode target, final JsonNode patch) {
        if (!patch.isObject()) {
            return patch;
        }
        final ObjectNode patched = JsonNodeFactory.instance.objectNode();
        if (target != null && target.isObject()) {
            patched.setAll((ObjectNode) target);
        }
        patch.fields().forEachRemaining(member -> {
            final String name = member.getKey();
            if (member.getValue().isNull()) {
                patched.remove(name);
            } else {
                patched.set(name, apply(patched.get(name), member.getValue()));
            }
        });
        return patched;
    }
}
