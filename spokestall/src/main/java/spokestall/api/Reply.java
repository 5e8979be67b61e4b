package spokestall.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The reply to a call. Immutable, as long as nobody modifies {@code fields}.
 *
 * @param result the result code
 * @param fields the result's fields, or null if it has none
 */
public record Reply(ResultCode result, JsonNode fields) {
    /** Returns a reply with these fields, which may be null. */
    public static Reply of(final ResultCode result, final JsonNode fields) {
        return new Reply(result, fields);
    }

    /** Returns the reply in the JSON format that is sent to the caller. */
    public ObjectNode json() {
        final ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("code", result.number());
        json.put("text", result.text());
        json.set("result", fields == null ? JsonNodeFactory.instance.objectNode() : fields);
        return json;
    }
}
