package spokestall.cli;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spokestall.io.http.HttpCall;
import spokestall.io.http.HttpClient;
import spokestall.io.http.HttpResult;

/**
 * HTTP client of a command, for client requests and for calls to nodes.
 *
 * <p>Thread-safe. Callbacks run on I/O threads and must not block. Never closed: the process exits when its command ends.
 */
final class CommandHttpClient {
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int CONNECTIONS_MAX = 1000;
    private final HttpClient client;

    CommandHttpClient(final int ioThreads) {
        this.client =
                new HttpClient(ioThreads(ioThreads), new DefaultByteBufferPool(true, BUFFER_BYTES), CONNECTIONS_MAX);
    }

    private static XnioWorker ioThreads(final int count) {
        try {
            return Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, count));
        } catch (final IOException e) {
            throw new IllegalStateException("can't start the I/O threads of the HTTP client", e);
        }
    }

    /** Sends a request; {@code done} receives the result exactly once. */
    void send(final HttpCall request, final Consumer<HttpResult> done) {
        client.call(request, done);
    }

    /** Calls a method of the schema file on a node, with parameters as JSON. */
    void callNode(
            final String address,
            final String method,
            final String params,
            final long timeoutMillis,
            final int responseMaxBytes,
            final Consumer<HttpResult> done) {
        send(
                HttpCall.withoutGate(
                        address,
                        "POST",
                        "/rpc/" + method,
                        Map.of("Content-Type", "application/json"),
                        params.getBytes(StandardCharsets.UTF_8),
                        timeoutMillis,
                        responseMaxBytes),
                done);
    }
}
