package spokestall.io.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** How long an idle connection is kept for reuse, over real sockets and with a simulated clock. */
class IdleConnectionTest {
    private static final long IDLE_MS = 1000;
    private final AtomicLong nowMs = new AtomicLong(1_000_000);
    private final AtomicInteger connections = new AtomicInteger();
    private final XnioWorker worker = createWorker();
    private final HttpClient client =
            new HttpClient(worker, new DefaultByteBufferPool(true, 16 << 10), IDLE_MS, nowMs::get);

    private static XnioWorker createWorker() {
        try {
            return Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    void end() {
        worker.shutdownNow();
    }

    /** Starts a server that responds to every request on every connection, with an additional header line unless it is empty. */
    private ServerSocket server(final String field) throws IOException {
        final ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        daemon(() -> {
            while (true) {
                final Socket connection = server.accept();
                connections.incrementAndGet();
                daemon(() -> answer(connection, field));
            }
        });
        return server;
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(final Task task) {
        final Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (final IOException e) {
                // The test has ended and closed the sockets.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void answer(final Socket connection, final String field) throws IOException {
        final BufferedReader in =
                new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
        while (true) {
            String line = in.readLine();
            while (line != null && !line.isEmpty()) {
                line = in.readLine();
            }
            if (line == null) {
                return;
            }
            connection
                    .getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + field + "\r\nok")
                            .getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void call(final ServerSocket at, final boolean repeatable) throws InterruptedException {
        final CountDownLatch kept = new CountDownLatch(1);
        final HttpCall call = new HttpCall(
                "127.0.0.1:" + at.getLocalPort(),
                HttpCall.ANY_INSTANCE,
                "GET",
                "/",
                List.of(),
                new byte[0],
                20_000,
                20_000,
                1 << 10,
                false,
                repeatable,
                SendGate.OPEN);
        client.call(call, result -> {
            assertThat(result).isInstanceOf(HttpResult.Complete.class);
            // The client keeps the connection in a task that it queues after this callback, so the latch is released
            // after that task.
            worker.getIoThread().execute(() -> worker.getIoThread().execute(kept::countDown));
        });
        assertThat(kept.await(20, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void keepsAConnectionForSeventyPercentOfItsKeepAliveTimeout() throws Exception {
        try (ServerSocket server = server("Keep-Alive: timeout=10\r\n")) {
            call(server, true);
            nowMs.addAndGet(6_900);
            call(server, true);
            assertThat(connections).hasValue(1);
            nowMs.addAndGet(3_600);
            call(server, false);
            assertThat(connections)
                    .as("a call that is not idempotent reuses no connection that was idle for half of its timeout")
                    .hasValue(2);
            nowMs.addAndGet(7_100);
            call(server, true);
            assertThat(connections).hasValue(3);
        }
    }

    @Test
    void usesTheConfiguredTimeoutWithoutAKeepAliveHeader() throws Exception {
        try (ServerSocket server = server("")) {
            call(server, true);
            nowMs.addAndGet(IDLE_MS - 1);
            call(server, true);
            assertThat(connections).hasValue(1);
            nowMs.addAndGet(IDLE_MS + 1);
            call(server, true);
            assertThat(connections).hasValue(2);
        }
    }
}
