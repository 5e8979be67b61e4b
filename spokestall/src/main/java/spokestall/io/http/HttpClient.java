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
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * HTTP to upstreams and the platform by Undertow's client. A wire carries one exchange at a time; one that timed out,
 * broke off or was framed oddly is closed, never used again.
 */
public final class HttpClient {
    private static final Pattern KEEP_ALIVE = Pattern.compile("timeout=(\\d{1,6})");
    /** However long the other end says. */
    private static final long REST_MOST_MS = 60_000;

    private static final int MISDIRECTED = 421;
    private static final Set<String> BODILESS = Set.of("GET", "HEAD", "DELETE", "OPTIONS");

    /** Hears how an exchange ended, and says whether its connection may be used again: not if the answer belongs to
     * another request, for then this one's own is still to come. */
    public interface Judge {
        /** Run once, on an I/O thread. */
        boolean mayKeep(HttpResult result);
    }

    private final XnioWorker worker;
    private final ByteBufferPool pool;
    private final long restMs;
    private final LongSupplier nowMs;
    private final IdleConnectionPool idle = new IdleConnectionPool();

    /** A wire rests for less than its other end says, and for restMs where that says nothing. */
    public HttpClient(final XnioWorker worker, final ByteBufferPool pool, final long restMs) {
        this(worker, pool, restMs, () -> System.nanoTime() / 1_000_000);
    }

    HttpClient(final XnioWorker worker, final ByteBufferPool pool, final long restMs, final LongSupplier nowMs) {
        this.nowMs = nowMs;
        this.restMs = restMs;
        this.worker = worker;
        this.pool = pool;
    }

    /** Has the exchange; done is run once, on an I/O thread. */
    public void call(final HttpCall call, final Consumer<HttpResult> done) {
        judged(call, result -> {
            done.accept(result);
            return true;
        });
    }

    /** Breaks an exchange off. */
    public interface Cancellation {
        /** Closes the exchange's connection and ends it as lost, or as not sent; no effect on one that has ended. Any thread. */
        void cancel();
    }

    /** Has the exchange, and uses its connection again only if the judge says so. */
    public Cancellation judged(final HttpCall call, final Judge judge) {
        final Exchange exchange = new Exchange(call, judge);
        exchange.begin();
        return exchange::cancel;
    }

    /** One exchange. */
    private final class Exchange implements ClientCallback<ClientExchange> {
        private final HttpCall call;
        private final Judge judge;
        private final IdleConnectionPool.Peer peer;
        private final AtomicBoolean over = new AtomicBoolean();
        private final ByteArrayOutputStream read = new ByteArrayOutputStream();
        private volatile XnioIoThread io;
        private volatile boolean sent;
        private volatile boolean reused;
        private volatile ClientConnection connection;
        private volatile XnioExecutor.Key timer;
        private volatile XnioExecutor.Key connecting;

        Exchange(final HttpCall call, final Judge judge) {
            this.call = call;
            this.judge = judge;
            this.peer = new IdleConnectionPool.Peer(call.address(), call.instance());
        }

        void begin() {
            final ClientConnection kept =
                    call.freshConnection() ? null : idle.take(peer, call.repeatable(), nowMs.getAsLong());
            io = kept != null ? kept.getIoThread() : worker.getIoThread();
            timer = io.executeAfter(() -> error("timeout"), Math.max(1, call.waitMs()), TimeUnit.MILLISECONDS);
            if (kept != null) {
                reused = true;
                io.execute(() -> opened(kept));
            } else {
                connect(io);
            }
        }

        private void connect(final XnioIoThread io) {
            if (call.connectMs() < call.waitMs()) {
                connecting = io.executeAfter(
                        () -> {
                            if (connection == null) {
                                error("connect: late");
                            }
                        },
                        Math.max(1, call.connectMs()),
                        TimeUnit.MILLISECONDS);
            }
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<>() {
                                @Override
                                public void completed(final ClientConnection made) {
                                    made.addCloseListener(closed -> idle.forget(peer, closed));
                                    opened(made);
                                }

                                @Override
                                public void failed(final IOException e) {
                                    error("connect: " + e.getMessage());
                                }
                            },
                            URI.create("http://" + call.address()),
                            io,
                            pool,
                            OptionMap.create(Options.TCP_NODELAY, true));
        }

        private void opened(final ClientConnection made) {
            connection = made;
            if (over.get()) {
                IoUtils.safeClose(made);
                return;
            }
            if (!made.isOpen()) {
                closedUnused(made);
                return;
            }
            call.gate().execute(() -> {
                final long untilMs = call.until().getAsLong();
                made.getIoThread().execute(() -> send(made, untilMs));
            });
        }

        /** The other end closed it, or wrote to it unasked, before any byte of this request left: a kept connection is
         * replaced by a new one, once. */
        private void closedUnused(final ClientConnection closed) {
            if (reused) {
                reused = false;
                connection = null;
                connect(closed.getIoThread());
            } else {
                error("closed");
            }
        }

        private void send(final ClientConnection made, final long untilMs) {
            if (over.get()) {
                return;
            }
            if (!made.isOpen()) {
                closedUnused(made);
                return;
            }
            final ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.target());
            if (call.body().length > 0 || !BODILESS.contains(call.method())) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(call.body().length));
            }
            HeaderFields.put(request.getRequestHeaders(), call.headers());
            if (!request.getRequestHeaders().contains(Headers.HOST)) {
                request.getRequestHeaders().put(Headers.HOST, call.address());
            }
            if (nowMs.getAsLong() >= untilMs) {
                idle.keep(peer, made, restMs, nowMs.getAsLong());
                end(new HttpResult.NotSent("barred"));
                return;
            }
            sent = true;
            made.sendRequest(request, this);
            call.sent().run();
        }

        @Override
        public void completed(final ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(final ClientExchange answered) {
                    answered(answered);
                }

                @Override
                public void failed(final IOException e) {
                    error("answer: " + e.getMessage());
                }
            });
            if (call.body().length > 0) {
                write(exchange.getRequestChannel(), ByteBuffer.wrap(call.body()));
            }
        }

        @Override
        public void failed(final IOException e) {
            error("send: " + e.getMessage());
        }

        private void write(final StreamSinkChannel channel, final ByteBuffer left) {
            try {
                while (left.hasRemaining()) {
                    if (channel.write(left) == 0) {
                        channel.getWriteSetter().set(c -> write(channel, left));
                        channel.resumeWrites();
                        return;
                    }
                }
                channel.shutdownWrites();
                if (!channel.flush()) {
                    channel.getWriteSetter().set(c -> flush(channel));
                    channel.resumeWrites();
                } else {
                    channel.suspendWrites();
                }
            } catch (final IOException e) {
                error("body: " + e.getMessage());
            }
        }

        private void flush(final StreamSinkChannel channel) {
            try {
                if (channel.flush()) {
                    channel.suspendWrites();
                }
            } catch (final IOException e) {
                error("body: " + e.getMessage());
            }
        }

        private void answered(final ClientExchange exchange) {
            final String odd = ResponseHead.odd(exchange.getResponse(), call.method());
            if (odd != null) {
                error("framing: " + odd);
                return;
            }
            read(exchange, exchange.getResponseChannel());
        }

        private void read(final ClientExchange exchange, final StreamSourceChannel channel) {
            final ByteBuffer buffer = ByteBuffer.allocate(8192);
            try {
                while (true) {
                    final int n = channel.read(buffer.clear());
                    if (n < 0) {
                        whole(exchange);
                        return;
                    }
                    if (n == 0) {
                        channel.getReadSetter().set(c -> read(exchange, channel));
                        channel.resumeReads();
                        return;
                    }
                    if (read.size() + n > call.answerMaxBytes()) {
                        error("answer over " + call.answerMaxBytes() + " bytes");
                        return;
                    }
                    read.write(buffer.array(), 0, n);
                }
            } catch (final IOException e) {
                error("answer: " + e.getMessage());
            }
        }

        private void whole(final ClientExchange exchange) {
            final var response = exchange.getResponse();
            final HeaderMap headers = response.getResponseHeaders();
            final boolean ours = end(new HttpResult.Whole(response.getResponseCode(), headers, read.toByteArray()));
            // A request that is not all out when its answer is there leaves a connection that is not to be trusted, and
            // one that leads to another instance would lead there again.
            final boolean requestOut = !exchange.getRequestChannel().isOpen();
            if (ours && requestOut && response.getResponseCode() != MISDIRECTED && !closes(headers)) {
                final long rest = restMs(headers.getFirst(Headers.KEEP_ALIVE));
                final ClientConnection used = connection;
                // What came along behind the answer is seen first, and closes it.
                used.getIoThread().execute(() -> idle.keep(peer, used, rest, nowMs.getAsLong()));
            } else {
                IoUtils.safeClose(connection);
            }
        }

        private boolean closes(final HeaderMap headers) {
            final HeaderValues connectionHeader = headers.get(Headers.CONNECTION);
            return connectionHeader != null
                    && connectionHeader.stream()
                            .flatMap(line -> Stream.of(line.split(",")))
                            .anyMatch(one -> one.trim().equalsIgnoreCase("close"));
        }

        /** Well below what the other end says, whose time runs from earlier and may be told in whole seconds. */
        private long restMs(final String keepAlive) {
            final Matcher told = KEEP_ALIVE.matcher(keepAlive == null ? "" : keepAlive);
            return told.find() ? Math.min(REST_MOST_MS, Long.parseLong(told.group(1)) * 700) : restMs;
        }

        private void cancel() {
            io.execute(() -> error("cancelled"));
        }

        private void error(final String why) {
            if (over.get()) {
                return;
            }
            end(sent ? new HttpResult.Lost(why) : new HttpResult.NotSent(why));
            if (connection != null) {
                IoUtils.safeClose(connection);
            }
        }

        /** Whether the connection may be used again, by the judge's word. */
        private boolean end(final HttpResult result) {
            if (!over.compareAndSet(false, true)) {
                return false;
            }
            if (timer != null) {
                timer.remove();
            }
            if (connecting != null) {
                connecting.remove();
            }
            return judge.mayKeep(result);
        }
    }
}
