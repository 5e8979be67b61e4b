package spokestall.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import spokestall.api.CallRegistry;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.http.HttpResult;

/** The command {@code operator}: sends one call to a node. The schema file defines its methods and flags. */
final class OperatorCommand {
    private static final int RESPONSE_MAX_BYTES = 64 << 20;
    /** Time that the command waits beyond the call's own timeout. */
    private static final long WAIT_MARGIN_MS = 1000;

    private OperatorCommand() {}

    /** Runs the command and returns its exit code. */
    static int run(final String[] args) throws IOException, InterruptedException {
        final JsonNode methods = new CallRegistry().schema().path("methods");
        if (args.length == 0 || args[0].equals("--help")) {
            System.out.println(
                    "spokestall operator <method> --to IP:PORT [flags]; a value @FILE is read from that file");
            methods.fields().forEachRemaining(method -> describe(method.getKey(), method.getValue()));
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        final JsonNode method = methods.get(args[0]);
        if (method == null) {
            System.err.println("unknown method: " + args[0]);
            return ExitCode.USAGE;
        }
        final OperatorArguments arguments = OperatorArguments.parse(method, args);
        if (arguments instanceof OperatorArguments.Call call) {
            return call(args[0], call);
        }
        if (arguments instanceof OperatorArguments.Invalid invalid) {
            System.err.println(invalid.reason());
            return ExitCode.USAGE;
        }
        describe(args[0], method);
        return ExitCode.OK;
    }

    private static void describe(final String name, final JsonNode method) {
        System.out.println("  " + name + "  " + method.path("about").asText());
        method.path("params")
                .path("properties")
                .fields()
                .forEachRemaining(param -> System.out.printf(
                        "      --%s (%s) %s%n",
                        param.getKey(),
                        param.getValue().path("type").asText(),
                        param.getValue().path("description").asText()));
    }

    private static int call(final String method, final OperatorArguments.Call call)
            throws IOException, InterruptedException {
        final CompletableFuture<HttpResult> response = new CompletableFuture<>();
        new CommandHttpClient(1)
                .callNode(
                        call.address(),
                        method,
                        call.params().toString(),
                        call.waitMs(),
                        RESPONSE_MAX_BYTES,
                        response::complete);
        HttpResult result = null;
        try {
            result = response.get(call.waitMs() + WAIT_MARGIN_MS, TimeUnit.MILLISECONDS);
        } catch (final TimeoutException e) {
            // The HTTP client's own timeout normally fires first. The null result is reported below.
        } catch (final ExecutionException e) {
            throw new IllegalStateException("the response future must not complete exceptionally", e);
        }
        if (result instanceof HttpResult.Complete received) {
            final JsonNode reply = ConfigurationStore.JSON.readTree(received.body());
            System.out.println(
                    ConfigurationStore.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(reply));
            return reply.path("code").asInt() == ResultCode.OK.number() ? ExitCode.OK : ExitCode.FAILED;
        }
        System.err.println("no response from " + call.address() + ": " + result);
        return ExitCode.FAILED;
    }
}
