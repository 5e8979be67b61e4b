package spokestall.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The reply to a call: a numbered result and its fields. */
public record Reply(ResultCode result, JsonNode fields) {
    /** Example: {@code Reply.of(ResultCode.OK, fields)} */
    public static Reply of(final ResultCode result, final JsonNode fields) {
        return new Reply(result, fields);
    }

    /** As sent outward. */
    public ObjectNode json() {
        final ObjectNode out = JsonNodeFactory.instance.objectNode();
        out.put("code", result.number());
        out.put("text", result.text());
        out.set("result", fields == null ? JsonNodeFactory.instance.objectNode() : fields);
        return out;
    }
}
