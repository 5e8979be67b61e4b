package spokestall.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
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

/** The calls of the one schema file, each checked against it before it is carried out. */
public final class CallRegistry {
    /** Carries one call out. */
    public interface Call {
        /** Example: {@code calls.on("status", (params, done) -> done.accept(reply));} */
        void run(JsonNode params, Consumer<Reply> done);
    }

    private final JsonNode file;
    /** Made when a call first comes: a program that takes its orders in another form never needs them. */
    private final Map<String, JsonSchema> schemas = new HashMap<>();

    private final Map<String, Call> calls = new TreeMap<>();

    /** Reads the schema file in the program. */
    public CallRegistry() {
        try (InputStream in = CallRegistry.class.getResourceAsStream("/spokestall.schema.json")) {
            file = new ObjectMapper().readTree(in);
        } catch (final IOException e) {
            throw new IllegalStateException("the schema file can't be read", e);
        }
    }

    /** The schema file. */
    public JsonNode file() {
        return file;
    }

    /** Example: {@code calls.on("status", this::status);} */
    public void on(final String method, final Call call) {
        if (!known(method)) {
            throw new IllegalStateException(method + " is not in the schema file");
        }
        calls.put(method, call);
    }

    /** Checks and runs a call. */
    public void run(final String method, final JsonNode params, final Consumer<Reply> done) {
        final Call call = calls.get(method);
        if (call == null) {
            final ResultCode why = known(method) ? ResultCode.NOT_READY : ResultCode.UNKNOWN_METHOD;
            done.accept(Reply.of(why, null));
            return;
        }
        final Set<ValidationMessage> errors = schema(method).validate(params);
        if (!errors.isEmpty()) {
            final ObjectNode out = file.isObject() ? ((ObjectNode) file).objectNode() : null;
            final ArrayNode list = out.putArray("troubles");
            errors.forEach(t -> list.addObject()
                    .put("pointer", t.getInstanceLocation().toString())
                    .put("reason", t.getMessage()));
            done.accept(Reply.of(ResultCode.BAD_PARAMS, out));
            return;
        }
        call.run(params, done);
    }

    private boolean known(final String method) {
        return file.path("methods").has(method);
    }

    private JsonSchema schema(final String method) {
        return schemas.computeIfAbsent(
                method,
                m -> JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(file.path("methods").path(m).path("params")));
    }
}
