package spokestall.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The calls of the schema file that a node answers. The parameters of each call are checked against the schema before the call
 * is run.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class CallRegistry {
    /** Runs one method's calls. */
    @FunctionalInterface
    public interface CallHandler {
        /** Runs a call whose parameters fit the schema; {@code done} receives its reply once, now or later. */
        void onCall(JsonNode params, Consumer<Reply> done);
    }

    private final JsonNode schema;
    /** Created with a method's first call: a program that is called by another protocol needs none. */
    private final Map<String, JsonSchema> paramsSchemas = new HashMap<>();

    private final Map<String, CallHandler> handlers = new TreeMap<>();

    /** Creates a registry without handlers; reads the schema file that is a resource of the program. */
    public CallRegistry() {
        try (InputStream in = CallRegistry.class.getResourceAsStream("/spokestall.schema.json")) {
            schema = new ObjectMapper().readTree(in);
        } catch (final IOException e) {
            throw new IllegalStateException("the schema file can't be read", e);
        }
    }

    /** Returns the schema file. */
    public JsonNode schema() {
        return schema;
    }

    /** Registers the handler of a method; throws IllegalStateException if the schema file has no such method. */
    public void register(final String method, final CallHandler handler) {
        if (!isKnownMethod(method)) {
            throw new IllegalStateException(method + " is not in the schema file");
        }
        handlers.put(method, handler);
    }

    /**
     * Checks and runs a call. The reply is {@link ResultCode#UNKNOWN_METHOD} if the schema file has no such method, {@link
     * ResultCode#NOT_READY} if this node does not answer it, {@link ResultCode#BAD_PARAMS} if its parameters don't fit.
     */
    public void call(final String method, final JsonNode params, final Consumer<Reply> done) {
        final CallHandler handler = handlers.get(method);
        if (handler == null) {
            final ResultCode result = isKnownMethod(method) ? ResultCode.NOT_READY : ResultCode.UNKNOWN_METHOD;
            done.accept(Reply.of(result, null));
            return;
        }
        final Set<ValidationMessage> errors = paramsSchema(method).validate(params);
        if (!errors.isEmpty()) {
            done.accept(Reply.of(ResultCode.BAD_PARAMS, describe(errors)));
            return;
        }
        handler.onCall(params, done);
    }

    private static ObjectNode describe(final Set<ValidationMessage> errors) {
        final ObjectNode fields = JsonNodeFactory.instance.objectNode();
        final ArrayNode list = fields.putArray("troubles");
        errors.forEach(error -> list.addObject()
                .put("pointer", error.getInstanceLocation().toString())
                .put("reason", error.getMessage()));
        return fields;
    }

    private boolean isKnownMethod(final String method) {
        return schema.path("methods").has(method);
    }

    private JsonSchema paramsSchema(final String method) {
        return paramsSchemas.computeIfAbsent(
                method,
                m -> JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(schema.path("methods").path(m).path("params")));
    }
}
