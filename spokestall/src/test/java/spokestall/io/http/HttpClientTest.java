package spokestall.io.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spokestall.message.Header;

/** Which connection a request is sent on, and with which result the exchange ends, against a server that writes raw bytes. */
class HttpClientTest {
    private static final int WAIT_MS = 10_000;
    private static final int SHORT_MS = 100;
    private static final int SLOW_MS = 1000;
    private static final String NAME = "X-Request";
    private XnioWorker worker;
    private HttpClient client;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        client = new HttpClient(worker, new DefaultByteBufferPool(false, 16 << 10), 60_000);
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        server.setSoTimeout(WAIT_MS);
    }

    @AfterEach
    void stop() throws IOException {
        worker.shutdownNow();
        server.close();
    }

    /** Accepts one connection on the server's side. */
    private Socket accept() throws IOException {
        final Socket socket = server.accept();
        socket.setSoTimeout(WAIT_MS);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Reads a request's head and returns the value of its name header. */
    private static String request(final Socket socket) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int one = socket.getInputStream().read();
            assertThat(one).as("a request after " + head).isNotNegative();
            head.append((char) one);
        }
        final int at = head.indexOf(NAME + ": ") + NAME.length() + 2;
        return head.substring(at, head.indexOf("\r", at));
    }

    private static String response(final String name, final String more) {
        return "HTTP/1.1 200 OK\r\n" + NAME + ": " + name + "\r\n" + more + "Content-Length: 2\r\n\r\nok";
    }

    private static void write(final Socket socket, final String latin) throws IOException {
        socket.getOutputStream().write(latin.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Waits until the client closes the connection. */
    private static void awaitClosed(final Socket socket) throws IOException {
        final InputStream in = socket.getInputStream();
        assertThat(in.read()).as("the client closes the connection").isEqualTo(-1);
    }

    private BlockingQueue<HttpResult> call(final String name, final String instance, final Executor gate) {
        return call(name, instance, new byte[0], gate);
    }

    /** Waits until the client closes or resets the connection. */
    private static void awaitEnded(final Socket socket) throws IOException {
        try {
            awaitClosed(socket);
        } catch (final SocketException e) {
            assertThat(e).hasMessageContaining("reset");
        }
    }

    /** Waits until the client resets the connection. */
    private static void awaitReset(final Socket socket) {
        final InputStream in = assertDoesNotThrow(socket::getInputStream);
        assertThatThrownBy(() -> in.read(new byte[64]))
                .as("the client resets the connection")
                .isInstanceOf(SocketException.class)
                .hasMessageContaining("reset");
    }

    private BlockingQueue<HttpResult> call(
            final String name, final String instance, final byte[] body, final Executor gate) {
        return call(
                name,
                instance,
                body,
                WAIT_MS,
                new SendGate(gate, () -> Long.MAX_VALUE, false, transmission -> {}),
                null);
    }

    private BlockingQueue<HttpResult> call(
            final String name,
            final String instance,
            final byte[] body,
            final long timeoutMillis,
            final SendGate gate,
            final Consumer<HttpClient.Cancellation> started) {
        final BlockingQueue<HttpResult> results = new LinkedBlockingQueue<>();
        final Predicate<HttpResult> own =
                r -> !(r instanceof HttpResult.Complete whole) || name.equals(whole.header(NAME));
        final HttpClient.Cancellation cancellation = client.execute(
                new HttpCall(
                        "127.0.0.1:" + server.getLocalPort(),
                        instance,
                        "POST",
                        "/",
                        List.of(new Header(NAME, name)),
                        body,
                        timeoutMillis,
                        timeoutMillis,
                        1024,
                        false,
                        false,
                        gate),
                result -> {
                    results.add(result);
                    return own.test(result);
                });
        if (started != null) {
            started.accept(cancellation);
        }
        return results;
    }

    private static HttpResult await(final BlockingQueue<HttpResult> results) throws InterruptedException {
        final HttpResult result = results.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        assertThat(result).as("the exchange ends").isNotNull();
        return result;
    }

    /** Completes a first exchange, and returns its connection on the server's side; the client keeps it for reuse. */
    private Socket idleConnection(final String instance) throws Exception {
        final BlockingQueue<HttpResult> first = call("first", instance, Runnable::run);
        final Socket socket = accept();
        assertThat(request(socket)).isEqualTo("first");
        write(socket, response("first", ""));
        assertThat(await(first)).isInstanceOf(HttpResult.Complete.class);
        settle();
        return socket;
    }

    /** Waits until the I/O thread has run its current task and the tasks that this one queued. */
    private void settle() throws InterruptedException {
        final CountDownLatch done = new CountDownLatch(1);
        worker.getIoThread().execute(() -> worker.getIoThread().execute(done::countDown));
        assertThat(done.await(WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private void answeredOnANewConnection(final String name, final String instance) throws Exception {
        final BlockingQueue<HttpResult> results = call(name, instance, Runnable::run);
        try (Socket fresh = accept()) {
            assertThat(request(fresh)).isEqualTo(name);
            write(fresh, response(name, ""));
            assertThat(((HttpResult.Complete) await(results)).header(NAME)).isEqualTo(name);
        }
    }

    @Test
    void reusesAConnectionAfterACompleteExchange() throws Exception {
        try (Socket socket = idleConnection("i-1")) {
            final BlockingQueue<HttpResult> second = call("second", "i-1", Runnable::run);
            assertThat(request(socket)).isEqualTo("second");
            write(socket, response("second", ""));
            assertThat(await(second)).isInstanceOf(HttpResult.Complete.class);
        }
    }

    /**
     * The server sends a second response to the first request where the response to the second request is expected. If the connection were
     * reused, the second request's response would be taken for the third request's.
     */
    @Test
    void closesTheConnectionAfterAResponseToAnotherRequest() throws Exception {
        try (Socket socket = idleConnection("i-1")) {
            final BlockingQueue<HttpResult> second = call("second", "i-1", Runnable::run);
            assertThat(request(socket)).isEqualTo("second");
            write(socket, response("first", ""));
            assertThat(await(second)).isInstanceOf(HttpResult.Complete.class);
            awaitClosed(socket);
            answeredOnANewConnection("third", "i-1");
        }
    }

    /**
     * Part of an extra response, directly followed by the request's own response, can be parsed as a single message with the status of the
     * first and the remainder of the second. Checked for each length of the part.
     */
    @Test
    void neverMixesAPartialExtraResponseIntoTheNextOne() throws Exception {
        final String extra = "HTTP/1.1 500 Bad\r\n" + NAME + ": first\r\nX-More: and more\r\n\r";
        for (int length = 1; length <= extra.length(); length++) {
            try (Socket socket = idleConnection("i-1")) {
                final BlockingQueue<HttpResult> second = call("second", "i-1", Runnable::run);
                assertThat(request(socket)).isEqualTo("second");
                write(socket, extra.substring(0, length) + response("second", "Connection: close\r\n"));
                socket.shutdownOutput();
                final HttpResult result = await(second);
                final boolean another =
                        result instanceof HttpResult.Complete whole && !"second".equals(whole.header(NAME));
                assertThat(another || result instanceof HttpResult.Lost)
                        .as("after <" + extra.substring(0, length) + "> " + result)
                        .isTrue();
                awaitEnded(socket);
            }
        }
    }

    @Test
    void replacesAnIdleConnectionThatClosesBeforeTheRequestIsSent() throws Exception {
        for (final String last : List.of("", response("first", ""), "bytes of no answer")) {
            try (Socket socket = idleConnection("i-1")) {
                final BlockingQueue<Runnable> held = new LinkedBlockingQueue<>();
                final BlockingQueue<HttpResult> second = call("second", "i-1", held::add);
                final Runnable attempt = held.poll(WAIT_MS, TimeUnit.MILLISECONDS);
                write(socket, last);
                socket.shutdownOutput();
                awaitClosed(socket);
                attempt.run();
                try (Socket fresh = accept()) {
                    held.poll(WAIT_MS, TimeUnit.MILLISECONDS).run();
                    assertThat(request(fresh)).isEqualTo("second");
                    write(fresh, response("second", "Connection: close\r\n"));
                    final HttpResult result = await(second);
                    assertThat(result).as("after <" + last + ">").isInstanceOf(HttpResult.Complete.class);
                    assertThat(((HttpResult.Complete) result).header(NAME)).isEqualTo("second");
                    awaitClosed(fresh);
                }
            }
        }
    }

    @Test
    void reportsNotSentIfANewConnectionClosesBeforeTheRequestIsSent() throws Exception {
        final BlockingQueue<Runnable> held = new LinkedBlockingQueue<>();
        final BlockingQueue<HttpResult> only = call("only", "i-1", held::add);
        try (Socket socket = accept()) {
            final Runnable attempt = held.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            socket.shutdownOutput();
            awaitClosed(socket);
            attempt.run();
            assertThat(await(only)).isInstanceOf(HttpResult.NotSent.class);
        }
    }

    @Test
    void doesNotReuseAConnectionForAnotherInstanceAtTheSameAddress() throws Exception {
        try (Socket old = idleConnection("i-1")) {
            answeredOnANewConnection("second", "i-2");
            assertThat(old.isClosed()).isFalse();
        }
    }

    @Test
    void closesTheConnectionIfAnyConnectionOptionIsClose() throws Exception {
        for (final String closing : List.of("Connection: close", "Connection: X-Hop, Close")) {
            final BlockingQueue<HttpResult> first = call("first", "i-1", Runnable::run);
            try (Socket socket = accept()) {
                assertThat(request(socket)).isEqualTo("first");
                write(socket, response("first", closing + "\r\n"));
                assertThat(await(first)).as(closing).isInstanceOf(HttpResult.Complete.class);
                awaitClosed(socket);
            }
        }
    }

    @Test
    void doesNotReuseAConnectionWhoseResponseCameBeforeTheRequestWasSent() throws Exception {
        final BlockingQueue<HttpResult> results = call("large", "i-1", new byte[32 << 20], Runnable::run);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("large");
            write(socket, response("large", ""));
            assertThat(await(results)).isInstanceOf(HttpResult.Complete.class);
            answeredOnANewConnection("second", "i-1");
        }
    }

    @Test
    void anExchangeThatTimedOutLeavesNoConnectionWhoseBytesMayStillArrive() throws Exception {
        final BlockingQueue<HttpResult> results = call("first", "i-1", new byte[1], SHORT_MS, SendGate.OPEN, null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            assertThat(await(results)).isInstanceOf(HttpResult.Lost.class);
            assertThat(socket.getInputStream().readNBytes(1)).as("the body").hasSize(1);
            awaitReset(socket);
        }
    }

    @Test
    void aCancelledExchangeLeavesNoConnectionWhoseBytesMayStillArrive() throws Exception {
        final BlockingQueue<HttpClient.Cancellation> started = new LinkedBlockingQueue<>();
        final BlockingQueue<HttpResult> results =
                call("first", "i-1", new byte[1], WAIT_MS, SendGate.OPEN, started::add);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            started.remove().cancel();
            assertThat(await(results)).isInstanceOf(HttpResult.Lost.class);
            assertThat(socket.getInputStream().readNBytes(1)).as("the body").hasSize(1);
            awaitReset(socket);
        }
    }

    @Test
    void aCallThatMayNotOutliveItsDeadlineIsResetThere() throws Exception {
        useStandingClock();
        final SendGate gate = new SendGate(Runnable::run, () -> SHORT_MS, true, transmission -> {});
        final BlockingQueue<HttpResult> results = call("first", "i-1", new byte[1], WAIT_MS, gate, null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            assertThat(await(results)).isEqualTo(new HttpResult.Lost("deadline"));
            assertThat(socket.getInputStream().readNBytes(1)).as("the body").hasSize(1);
            awaitReset(socket);
        }
    }

    private static SendGate holding(final long deadlineMs, final BlockingQueue<HeldRequest> held) {
        return new SendGate(Runnable::run, () -> deadlineMs, true, transmission -> {}, Optional.of(held::add));
    }

    /**
     * Lets the client's clock stand at 0, so that no deadline passes before a step of the test however slow the machine is. The
     * timers, which end a call at its deadline, run on.
     */
    private void useStandingClock() {
        client = new HttpClient(worker, new DefaultByteBufferPool(false, 16 << 10), 60_000, () -> 0);
    }

    private static long inMs(final long ms) {
        return System.nanoTime() / 1_000_000 + ms;
    }

    private static final byte[] BODY = "three".getBytes(StandardCharsets.US_ASCII);
    private static final int HELD_BACK = 1;

    /** Guards against: a request that was written into a dead link was complete, and took effect when it arrived late. */
    @Test
    void aHeldRequestIsIncompleteUntilItIsReleased() throws Exception {
        final BlockingQueue<HeldRequest> held = new LinkedBlockingQueue<>();
        final BlockingQueue<HttpResult> results =
                call("first", "i-1", BODY, WAIT_MS, holding(inMs(WAIT_MS), held), null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            final HeldRequest request = held.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            assertThat(socket.getInputStream().readNBytes(BODY.length - HELD_BACK))
                    .isEqualTo("thre".getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().available()).isZero();
            request.release();
            assertThat(socket.getInputStream().readNBytes(HELD_BACK))
                    .isEqualTo("e".getBytes(StandardCharsets.US_ASCII));
            write(socket, response("first", "Connection: close\r\n"));
            assertThat(await(results)).isInstanceOf(HttpResult.Complete.class);
        }
    }

    @Test
    void anAbandonedRequestIsResetAndNotSent() throws Exception {
        final BlockingQueue<HeldRequest> held = new LinkedBlockingQueue<>();
        final BlockingQueue<HttpResult> results =
                call("first", "i-1", BODY, WAIT_MS, holding(inMs(WAIT_MS), held), null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            held.poll(WAIT_MS, TimeUnit.MILLISECONDS).abandon();
            assertThat(await(results)).isEqualTo(new HttpResult.NotSent("abandoned"));
            socket.getInputStream().readNBytes(BODY.length - HELD_BACK);
            awaitReset(socket);
        }
    }

    /** The deadline ends a held request too, and a later release sends nothing. */
    @Test
    void aRequestThatIsHeldUntilItsDeadlineIsResetAndNotSent() throws Exception {
        useStandingClock();
        final BlockingQueue<HeldRequest> held = new LinkedBlockingQueue<>();
        final BlockingQueue<HttpResult> results = call("first", "i-1", BODY, WAIT_MS, holding(SHORT_MS, held), null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            assertThat(await(results)).isEqualTo(new HttpResult.NotSent("deadline"));
            held.remove().release();
            socket.getInputStream().readNBytes(BODY.length - HELD_BACK);
            awaitReset(socket);
        }
    }

    /** The deadline is read anew at the release, and a request with a released last byte may have arrived. */
    @Test
    void aReleasedRequestIsResetAtTheLaterDeadline() throws Exception {
        useStandingClock();
        final AtomicLong deadlineMs = new AtomicLong(WAIT_MS);
        final BlockingQueue<HeldRequest> held = new LinkedBlockingQueue<>();
        final SendGate gate =
                new SendGate(Runnable::run, deadlineMs::get, true, transmission -> {}, Optional.of(held::add));
        final BlockingQueue<HttpResult> results = call("first", "i-1", BODY, WAIT_MS, gate, null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            final HeldRequest request = held.poll(WAIT_MS, TimeUnit.MILLISECONDS);
            deadlineMs.set(SHORT_MS);
            request.release();
            assertThat(await(results)).isEqualTo(new HttpResult.Lost("deadline"));
            assertThat(socket.getInputStream().readNBytes(BODY.length)).isEqualTo(BODY);
            awaitReset(socket);
        }
    }

    @Test
    void aRequestThatIsReleasedAfterItsDeadlineIsNotSent() throws Exception {
        final AtomicLong deadlineMs = new AtomicLong(inMs(WAIT_MS));
        final BlockingQueue<HeldRequest> held = new LinkedBlockingQueue<>();
        final SendGate gate =
                new SendGate(Runnable::run, deadlineMs::get, true, transmission -> {}, Optional.of(held::add));
        final BlockingQueue<HttpResult> results = call("first", "i-1", BODY, WAIT_MS, gate, null);
        try (Socket socket = accept()) {
            assertThat(request(socket)).isEqualTo("first");
            deadlineMs.set(Long.MIN_VALUE);
            held.poll(WAIT_MS, TimeUnit.MILLISECONDS).release();
            assertThat(await(results)).isEqualTo(new HttpResult.NotSent("barred"));
            socket.getInputStream().readNBytes(BODY.length - HELD_BACK);
            awaitReset(socket);
        }
    }

    @Test
    void aCallWithLessTimeThanItsConnectionTookToOpenIsNotSent() throws Exception {
        final AtomicLong nowMs = new AtomicLong();
        // Each reading of the clock is as late as if a round trip on a slow link lay in between.
        client = new HttpClient(
                worker, new DefaultByteBufferPool(false, 16 << 10), 60_000, () -> nowMs.addAndGet(SLOW_MS));
        final SendGate gate = new SendGate(Runnable::run, () -> nowMs.get() + 2 * SLOW_MS, true, transmission -> {});
        final BlockingQueue<HttpResult> results = call("first", "i-1", new byte[1], WAIT_MS, gate, null);
        try (Socket socket = accept()) {
            assertThat(await(results)).isEqualTo(new HttpResult.NotSent("barred"));
        }
    }
}
