package spokestall.io.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSourceChannel;

/**
 * An HTTP client for upstreams, the platform and other nodes, on Undertow's client. A connection carries one exchange at a time. After a
 * timeout, a cancellation, an error or an invalid response the connection is reset. Thread-safe.
 */
public final class HttpClient {
    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=(\\d{1,6})");
    /** The longest time that a connection is kept idle, also if the peer announces a longer one. */
    private static final long MAX_IDLE_MS = 60_000;

    private static final int MISDIRECTED = 421;
    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD", "DELETE", "OPTIONS");

    /** Receives the result of an exchange and decides whether its connection may be reused. */
    public interface ResultHandler {
        /**
         * Returns whether the connection may be reused. It may not if the response belongs to another request, since the response to
         * this request is then still to arrive. Called once, on an I/O thread.
         */
        boolean onResult(HttpResult result);
    }

    private final XnioWorker worker;
    private final ByteBufferPool pool;
    private final long idleTimeoutMs;
    private final LongSupplier nowMs;
    private final IdleConnectionPool idle = new IdleConnectionPool();

    /**
     * Creates a client.
     *
     * @param idleTimeoutMs the time that an idle connection is kept if the peer announces no timeout in a Keep-Alive header; if it
     *     does, the connection is kept for less than that
     */
    public HttpClient(final XnioWorker worker, final ByteBufferPool pool, final long idleTimeoutMs) {
        this(worker, pool, idleTimeoutMs, () -> System.nanoTime() / 1_000_000);
    }

    HttpClient(final XnioWorker worker, final ByteBufferPool pool, final long idleTimeoutMs, final LongSupplier nowMs) {
        this.nowMs = nowMs;
        this.idleTimeoutMs = idleTimeoutMs;
        this.worker = worker;
        this.pool = pool;
    }

    /** Starts an exchange; {@code done} runs once, on an I/O thread. */
    public void call(final HttpCall call, final Consumer<HttpResult> done) {
        execute(call, result -> {
            done.accept(result);
            return true;
        });
    }

    /** Cancels an exchange. */
    public interface Cancellation {
        /** Closes the exchange's connection and ends the exchange as lost or not sent. Has no effect after its end. Any thread. */
        void cancel();
    }

    /** Starts an exchange, and reuses its connection afterwards only if the handler allows it. */
    public Cancellation execute(final HttpCall call, final ResultHandler handler) {
        final Exchange exchange = new Exchange(call, handler);
        exchange.begin();
        return exchange::cancel;
    }

    /** One exchange, from taking or opening a connection to its result. */
    private final class Exchange implements ClientCallback<ClientExchange>, HeldRequest {
        private final HttpCall call;
        private final ResultHandler handler;
        private final IdleConnectionPool.Peer peer;
        private final AtomicBoolean ended = new AtomicBoolean();
        private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();
        private volatile XnioIoThread io;
        private volatile boolean sent;
        private volatile boolean reused;
        private volatile ClientConnection connection;
        private volatile RequestBodyWriter requestBody;
        private volatile XnioExecutor.Key timer;
        private volatile XnioExecutor.Key connectTimer;
        private volatile XnioExecutor.Key deadlineTimer;
        private volatile long connectStartedMs;
        private volatile long connectMs;
        private volatile long deadlineMs = Long.MAX_VALUE;

        Exchange(final HttpCall call, final ResultHandler handler) {
            this.call = call;
            this.handler = handler;
            this.peer = new IdleConnectionPool.Peer(call.address(), call.instance());
        }

        void begin() {
            final ClientConnection kept =
                    call.freshConnection() ? null : idle.take(peer, call.idempotent(), nowMs.getAsLong());
            io = kept != null ? kept.getIoThread() : worker.getIoThread();
            startTimer();
            if (kept != null) {
                reused = true;
                io.execute(() -> onConnected(kept));
            } else {
                connect(io);
            }
        }

        private void startTimer() {
            timer = io.executeAfter(() -> fail("timeout"), Math.max(1, call.timeoutMillis()), TimeUnit.MILLISECONDS);
        }

        private void connect(final XnioIoThread io) {
            connectStartedMs = nowMs.getAsLong();
            if (call.connectTimeoutMs() < call.timeoutMillis()) {
                connectTimer = io.executeAfter(
                        () -> {
                            if (connection == null) {
                                fail("connect: timeout");
                            }
                        },
                        Math.max(1, call.connectTimeoutMs()),
                        TimeUnit.MILLISECONDS);
            }
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(final ClientConnection made) {
                                    made.addCloseListener(closed -> idle.remove(peer, closed));
                                    connectMs = nowMs.getAsLong() - connectStartedMs;
                                    onConnected(made);
                                }

                                @Override
                                public void failed(final IOException e) {
                                    fail("connect: " + e.getMessage());
                                }
                            },
                            URI.create("http://" + call.address()),
                            io,
                            pool,
                            OptionMap.create(
                                    Options.TCP_NODELAY,
                                    true,
                                    Options.CLOSE_ABORT,
                                    call.gate().endsCall()));
        }

        private void onConnected(final ClientConnection opened) {
            connection = opened;
            if (ended.get()) {
                IoUtils.safeClose(opened);
                return;
            }
            if (!opened.isOpen()) {
                onClosedBeforeSend(opened);
                return;
            }
            call.gate().executor().execute(() -> {
                deadlineMs = call.gate().deadline().getAsLong();
                opened.getIoThread().execute(() -> send(opened));
            });
        }

        /**
         * Handles a connection that the peer closed, or on which it sent unexpected bytes, before any byte of this request was sent. A
         * reused connection is replaced by a new one, once.
         */
        private void onClosedBeforeSend(final ClientConnection closed) {
            if (reused) {
                reused = false;
                connection = null;
                connect(closed.getIoThread());
            } else {
                fail("closed");
            }
        }

        private void send(final ClientConnection opened) {
            if (ended.get()) {
                return;
            }
            if (!opened.isOpen()) {
                onClosedBeforeSend(opened);
                return;
            }
            final ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.target());
            if (call.body().length > 0 || !METHODS_WITHOUT_BODY.contains(call.method())) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(call.body().length));
            }
            HeaderFields.addAll(request.getRequestHeaders(), call.headers());
            if (!request.getRequestHeaders().contains(Headers.HOST)) {
                request.getRequestHeaders().put(Headers.HOST, call.address());
            }
            final long sendMs = nowMs.getAsLong();
            if (isBarred(sendMs)) {
                idle.keep(peer, opened, idleTimeoutMs, sendMs);
                end(new HttpResult.NotSent("barred"));
                return;
            }
            startDeadlineTimer(sendMs);
            final boolean held = call.gate().onHeld().isPresent();
            sent = !held;
            opened.sendRequest(request, this);
            if (!held) {
                notifySent(sendMs);
            }
        }

        private boolean isBarred(final long sendMs) {
            return sendMs >= deadlineMs || call.gate().endsCall() && deadlineMs - sendMs <= connectMs;
        }

        private void startDeadlineTimer(final long sendMs) {
            if (call.gate().endsCall()) {
                deadlineTimer = io.executeAfter(() -> fail("deadline"), deadlineMs - sendMs, TimeUnit.MILLISECONDS);
            }
        }

        private void notifySent(final long sendMs) {
            call.gate().onSent().accept(new Transmission(connection, connectMs, deadlineMs - sendMs));
        }

        @Override
        public void completed(final ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(final ClientExchange answered) {
                    onResponseHead(answered);
                }

                @Override
                public void failed(final IOException e) {
                    fail("response: " + e.getMessage());
                }
            });
            if (call.gate().endsCall() && nowMs.getAsLong() >= deadlineMs) {
                fail("deadline");
                return;
            }
            requestBody = new RequestBodyWriter(
                    exchange.getRequestChannel(), call.body(), e -> fail("body: " + e.getMessage()));
            if (call.gate().onHeld().isPresent()) {
                requestBody.writeAllButLast(this::onHeld);
            } else if (call.body().length > 0) {
                requestBody.writeAll();
            }
        }

        private void onHeld() {
            call.gate()
                    .executor()
                    .execute(() -> call.gate().onHeld().orElseThrow().accept(this));
        }

        @Override
        public void release() {
            final long latestMs = call.gate().deadline().getAsLong();
            io.execute(() -> sendLastByte(latestMs));
        }

        @Override
        public void abandon() {
            io.execute(() -> fail("abandoned"));
        }

        private void sendLastByte(final long latestMs) {
            if (ended.get()) {
                return;
            }
            removeTimers();
            deadlineMs = latestMs;
            final long sendMs = nowMs.getAsLong();
            if (isBarred(sendMs)) {
                fail("barred");
                return;
            }
            startTimer();
            startDeadlineTimer(sendMs);
            sent = true;
            requestBody.writeLast();
            notifySent(sendMs);
        }

        @Override
        public void failed(final IOException e) {
            fail("send: " + e.getMessage());
        }

        private void onResponseHead(final ClientExchange exchange) {
            final String invalidReason = ResponseHead.invalidReason(exchange.getResponse(), call.method());
            if (invalidReason != null) {
                fail("invalid response head: " + invalidReason);
                return;
            }
            readBody(exchange, exchange.getResponseChannel());
        }

        private void readBody(final ClientExchange exchange, final StreamSourceChannel channel) {
            final ByteBuffer buffer = ByteBuffer.allocate(8192);
            try {
                while (true) {
                    final int n = channel.read(buffer.clear());
                    if (n < 0) {
                        onResponseComplete(exchange);
                        return;
                    }
                    if (n == 0) {
                        channel.getReadSetter().set(c -> readBody(exchange, channel));
                        channel.resumeReads();
                        return;
                    }
                    if (responseBody.size() + n > call.responseMaxBytes()) {
                        fail("response body larger than " + call.responseMaxBytes() + " bytes");
                        return;
                    }
                    responseBody.write(buffer.array(), 0, n);
                }
            } catch (final IOException e) {
                fail("response: " + e.getMessage());
            }
        }

        private void onResponseComplete(final ClientExchange exchange) {
            final var response = exchange.getResponse();
            final HeaderMap headers = response.getResponseHeaders();
            final boolean reusable =
                    end(new HttpResult.Complete(response.getResponseCode(), headers, responseBody.toByteArray()));
            // A connection isn't reused if the response arrived before the request was sent completely, or if it
            // leads to another instance (421), which would receive the next request too.
            final boolean requestSent = !exchange.getRequestChannel().isOpen();
            if (reusable && requestSent && response.getResponseCode() != MISDIRECTED && !announcesClose(headers)) {
                final long idleMs = idleTimeoutMs(headers.getFirst(Headers.KEEP_ALIVE));
                final ClientConnection used = connection;
                // Queued behind the handling of any extra bytes after the response, which closes the connection.
                used.getIoThread().execute(() -> idle.keep(peer, used, idleMs, nowMs.getAsLong()));
            } else {
                IoUtils.safeClose(connection);
            }
        }

        private boolean announcesClose(final HeaderMap headers) {
            final HeaderValues connectionHeader = headers.get(Headers.CONNECTION);
            return connectionHeader != null
                    && connectionHeader.stream()
                            .flatMap(line -> Stream.of(line.split(",")))
                            .anyMatch(one -> one.trim().equalsIgnoreCase("close"));
        }

        /**
         * Returns the time that the connection may be idle: 70% of the timeout that the peer announces, since the peer's timer started
         * earlier and the value may be rounded to whole seconds, but at most {@link #MAX_IDLE_MS}.
         */
        private long idleTimeoutMs(final String keepAlive) {
            final Matcher announced = KEEP_ALIVE.matcher(keepAlive == null ? "" : keepAlive);
            return announced.find() ? Math.min(MAX_IDLE_MS, Long.parseLong(announced.group(1)) * 700) : idleTimeoutMs;
        }

        private void cancel() {
            io.execute(() -> fail("cancelled"));
        }

        private void fail(final String reason) {
            if (ended.get()) {
                return;
            }
            end(sent ? new HttpResult.Lost(reason) : new HttpResult.NotSent(reason));
            if (connection != null) {
                ConnectionReset.reset(connection);
            }
        }

        /** Ends the exchange with a result, unless it has ended; returns whether the handler allows the connection to be reused. */
        private boolean end(final HttpResult result) {
            if (!ended.compareAndSet(false, true)) {
                return false;
            }
            removeTimers();
            if (connectTimer != null) {
                connectTimer.remove();
            }
            return handler.onResult(result);
        }

        private void removeTimers() {
            if (timer != null) {
                timer.remove();
            }
            if (deadlineTimer != null) {
                deadlineTimer.remove();
            }
        }
    }
}
