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
 * The API calls that a node answers. The parameters of each call are validated against the schema file before the call
 * runs.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class CallRegistry {
    /** Handles the calls of one method. */
    @FunctionalInterface
    public interface CallHandler {
        /**
         * Runs a call whose parameters match the schema. {@code done} receives the reply once, immediately or later.
         */
        void onCall(JsonNode params, Consumer<Reply> done);
    }

    private final JsonNode schema;
    /**
     * Schemas of parameters, each compiled at its method's first call: a program whose callers use another protocol
     * needs none.
     */
    private final Map<String, JsonSchema> paramsSchemas = new HashMap<>();

    private final Map<String, CallHandler> handlers = new TreeMap<>();

    /** Creates a registry without handlers; reads the schema file from the program's resources. */
    public CallRegistry() {
        try (InputStream in = CallRegistry.class.getResourceAsStream("/spokestall.schema.json")) {
            schema = new ObjectMapper().readTree(in);
        } catch (final IOException e) {
            throw new IllegalStateException("failed to read the schema file", e);
        }
    }

    /** Returns the schema file's content. */
    public JsonNode schema() {
        return schema;
    }

    /**
     * Registers the handler of a method; throws IllegalStateException if the schema file doesn't contain the method.
     */
    public void register(final String method, final CallHandler handler) {
        if (!isKnownMethod(method)) {
            throw new IllegalStateException(method + " is not in the schema file");
        }
        handlers.put(method, handler);
    }

    /**
     * Validates and runs a call. The reply is {@link ResultCode#UNKNOWN_METHOD} if the schema file doesn't contain the
     * method, {@link ResultCode#NOT_READY} if this node has no handler for it, and {@link ResultCode#BAD_PARAMS} if the
     * parameters don't match the schema.
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
