package spokestall.io.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spokestall.configuration.ClientLimits;
import spokestall.testsupport.LoopbackPort;

/** Client connections over real sockets. */
class HttpListenerTest {
    private static final int HEAD_BYTES = 2048;
    private static final long HEAD_TIMEOUT_MS = 400;
    private static final long IDLE_MS = 400;
    private static final long LONG_MS = 60_000;
    private static final String GET = "GET /x HTTP/1.1\r\nHost: a\r\n";
    private final BlockingQueue<HttpServerExchange> held = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private HttpListener listener;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        address = new InetSocketAddress(InetAddress.getLoopbackAddress(), LoopbackPort.free());
    }

    @AfterEach
    void stop() {
        listener.stopAccepting();
        worker.shutdownNow();
    }

    private void listen(final ClientLimits limits) throws IOException {
        listener = new HttpListener(worker, OptionMap.EMPTY, OptionMap.EMPTY, limits);
        listener.listen(address, exchange -> {
            if (exchange.getRequestPath().equals("/held")) {
                exchange.dispatch(() -> held.add(exchange));
            } else {
                exchange.getResponseSender().send("well");
            }
        });
        listener.start();
    }

    private Socket connect() throws IOException {
        final Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one response and returns its head; a body has four bytes. */
    private static String response(final Socket socket) throws IOException {
        final InputStream in = socket.getInputStream();
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int one = in.read();
            assertThat(one).as("after: " + head).isNotNegative();
            head.append((char) one);
        }
        if (head.indexOf("Content-Length: 4") > 0) {
            in.readNBytes(4);
        }
        return head.toString();
    }

    private static boolean closed(final Socket socket) throws IOException {
        return socket.getInputStream().read() < 0;
    }

    private static long elapsedMs(final long sinceNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNs);
    }

    @Test
    void closesAnIdleConnectionGracefullyAfterTheIdleTimeout() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, LONG_MS, IDLE_MS));
        try (Socket socket = connect()) {
            send(socket, GET + "\r\n");
            response(socket);
            final long sinceNs = System.nanoTime();
            assertThat(closed(socket)).isTrue();
            assertThat(elapsedMs(sinceNs)).isBetween(IDLE_MS - 50, 10_000L);
        }
    }

    @Test
    void appliesARaisedIdleTimeoutToConnectionsThatAreIdle() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, LONG_MS, IDLE_MS));
        try (Socket socket = connect()) {
            send(socket, GET + "\r\n");
            response(socket);
            final long sinceNs = System.nanoTime();
            listener.applyLimits(new ClientLimits(HEAD_BYTES, LONG_MS, 4 * IDLE_MS));
            assertThat(closed(socket)).isTrue();
            assertThat(elapsedMs(sinceNs)).isGreaterThan(4 * IDLE_MS - 50);
        }
    }

    @Test
    void answers408ToAHeadThatIsNotCompleteInTime() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, HEAD_TIMEOUT_MS, LONG_MS));
        try (Socket socket = connect()) {
            send(socket, GET);
            assertThat(response(socket)).startsWith("HTTP/1.1 408 ").contains("Connection: close");
            assertThat(closed(socket)).isTrue();
        }
    }

    @Test
    void acceptsLargerHeadsAfterTheLimitIsRaisedAndClosesOlderConnectionsAfterTheirResponse() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, LONG_MS, LONG_MS));
        final String large = GET + "X: " + "x".repeat(2 * HEAD_BYTES) + "\r\n\r\n";
        try (Socket refused = connect();
                Socket older = connect()) {
            send(refused, large);
            assertThat(response(refused)).startsWith("HTTP/1.1 400 ");
            send(older, GET + "\r\n");
            assertThat(response(older)).startsWith("HTTP/1.1 200 ").doesNotContain("Connection: close");
            listener.applyLimits(new ClientLimits(4 * HEAD_BYTES, LONG_MS, LONG_MS));
            send(older, GET + "\r\n");
            assertThat(response(older)).startsWith("HTTP/1.1 200 ").contains("Connection: close");
        }
        try (Socket newer = connect()) {
            send(newer, large);
            assertThat(response(newer)).startsWith("HTTP/1.1 200 ");
        }
    }

    @Test
    void closesIdleConnectionsAtOnceAndBusyOnesAfterTheirResponse() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, LONG_MS, LONG_MS));
        try (Socket atRest = connect();
                Socket underWay = connect()) {
            send(atRest, GET + "\r\n");
            response(atRest);
            send(underWay, GET.replace("/x", "/held") + "\r\n");
            final HttpServerExchange exchange = held.poll(10, TimeUnit.SECONDS);
            assertThat(listener.open()).isEqualTo(2);
            listener.closeAfterResponses();
            listener.closeIdle();
            assertThat(closed(atRest)).isTrue();
            assertThat(listener.open()).isEqualTo(1);
            exchange.getResponseSender().send("well");
            assertThat(response(underWay)).startsWith("HTTP/1.1 200 ").contains("Connection: close");
            assertThat(closed(underWay)).isTrue();
            assertThat(listener.open()).isZero();
        }
    }

    @Test
    void answers408ToAPartialHeadAtShutdown() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, LONG_MS, LONG_MS));
        try (Socket inPart = connect();
                Socket other = connect()) {
            send(inPart, GET);
            send(other, GET + "\r\n");
            response(other);
            listener.closeIdle();
            assertThat(response(inPart)).startsWith("HTTP/1.1 408 ").contains("Connection: close");
            assertThat(closed(inPart)).isTrue();
        }
    }

    @Test
    void ignoresRequestsOnAConnectionThatWasClosedWhileIdle() throws Exception {
        listen(new ClientLimits(HEAD_BYTES, LONG_MS, LONG_MS));
        try (Socket socket = connect()) {
            send(socket, GET + "\r\n");
            response(socket);
            listener.closeIdle();
            assertThat(closed(socket)).isTrue();
            send(socket, GET.replace("/x", "/held?late") + "\r\n");
            try (Socket other = connect()) {
                send(other, GET.replace("/x", "/held?marker") + "\r\n");
                final HttpServerExchange first = held.poll(10, TimeUnit.SECONDS);
                assertThat(first.getQueryString()).isEqualTo("marker");
                first.getResponseSender().send("well");
                assertThat(response(other)).startsWith("HTTP/1.1 200 ");
            }
            assertThat(held).isEmpty();
        }
    }
}
