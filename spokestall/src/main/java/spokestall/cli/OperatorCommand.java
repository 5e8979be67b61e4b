package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import spokestall.api.CallRegistry;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.http.HttpCall;
import spokestall.io.http.HttpClient;
import spokestall.io.http.HttpResult;

/** One call to any node, its flags made from the schema file. */
final class OperatorCommand {
    private static final int ANSWER_MAX = 64 << 20;

    private OperatorCommand() {}

    static int run(final String[] args) throws Exception {
        final JsonNode methods = new CallRegistry().file().path("methods");
        if (args.length == 0 || args[0].equals("--help")) {
            System.out.println("spokestall operator <method> --to IP:PORT [flags]; a value of @FILE is read from it");
            methods.fields().forEachRemaining(e -> describe(e.getKey(), e.getValue()));
            return args.length == 0 ? 2 : 0;
        }
        final JsonNode method = methods.get(args[0]);
        if (method == null) {
            System.err.println("no such method: " + args[0]);
            return 2;
        }
        final ObjectNode params = ConfigurationStore.JSON.createObjectNode();
        String to = null;
        long waitMs = 10_000;
        for (int i = 1; i < args.length; i++) {
            if (args[i].equals("--help")) {
                describe(args[0], method);
                return 0;
            }
            if (!args[i].startsWith("--") || i + 1 >= args.length) {
                System.err.println("a flag with a value was expected, not: " + args[i]);
                return 2;
            }
            final String flag = args[i].substring(2);
            final String value = args[++i];
            if (flag.equals("to")) {
                to = value;
            } else if (flag.equals("waitMs")) {
                if (!value.matches("[1-9]\\d{0,6}")) {
                    System.err.println("--waitMs: needs a number of milliseconds, not: " + value);
                    return 2;
                }
                waitMs = Long.parseLong(value);
            } else if (!param(params, method.path("params").path("properties").get(flag), flag, value)) {
                return 2;
            }
        }
        if (to == null || !to.matches("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}")) {
            System.err.println("--to: needs a node's IP number and port");
            return 2;
        }
        return call(to, args[0], params, waitMs);
    }

    private static void describe(final String name, final JsonNode method) {
        System.out.println("  " + name + "  " + method.path("about").asText());
        method.path("params")
                .path("properties")
                .fields()
                .forEachRemaining(p -> System.out.printf(
                        "      --%s (%s) %s%n",
                        p.getKey(),
                        p.getValue().path("type").asText(),
                        p.getValue().path("description").asText()));
    }

    private static boolean param(
            final ObjectNode params, final JsonNode schema, final String flag, final String value) {
        if (schema == null) {
            System.err.println("--" + flag + ": no such flag for this method");
            return false;
        }
        try {
            final String text = value.startsWith("@") ? Files.readString(Path.of(value.substring(1))) : value;
            if (schema.path("type").asText().equals("string")) {
                params.put(flag, text);
            } else {
                params.set(flag, ConfigurationStore.JSON.readTree(text));
            }
            return true;
        } catch (final IOException e) {
            System.err.println("--" + flag + ": " + e.getMessage().split("\n")[0]);
            return false;
        }
    }

    private static int call(final String to, final String method, final ObjectNode params, final long waitMs)
            throws Exception {
        final HttpClient client = LoadGenerator.client(1);
        final AtomicReference<HttpResult> got = new AtomicReference<>();
        final CountDownLatch done = new CountDownLatch(1);
        client.call(
                HttpCall.plain(
                        to,
                        "POST",
                        "/rpc/" + method,
                        Map.of("Content-Type", "application/json"),
                        params.toString().getBytes(StandardCharsets.UTF_8),
                        waitMs,
                        ANSWER_MAX),
                r -> {
                    got.set(r);
                    done.countDown();
                });
        done.await(waitMs + 1000, TimeUnit.MILLISECONDS);
        if (got.get() instanceof HttpResult.Whole whole) {
            final JsonNode out = ConfigurationStore.JSON.readTree(whole.body());
            System.out.println(
                    ConfigurationStore.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(out));
            return out.path("code").asInt() == 1000 ? 0 : 1;
        }
        System.err.println("no answer from " + to + ": " + got.get());
        return 1;
    }
}
