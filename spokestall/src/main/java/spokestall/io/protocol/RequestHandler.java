package spokestall.io.protocol;

import io.undertow.io.IoCallback;
import io.undertow.io.Receiver;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpContinue;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import spokestall.api.ResultCode;
import spokestall.io.EventLoop;
import spokestall.io.http.HeaderFields;
import spokestall.io.http.HttpListener;
import spokestall.node.Node;
import spokestall.proxy.AdmissionController;
import spokestall.proxy.AdmissionResult;
import spokestall.proxy.AdmittedRequest;
import spokestall.proxy.ExecutionStatus;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;

/**
 * Receives clients' requests, passes them to the node's {@link AdmissionController} on its event loop, and writes the responses on
 * the connections' I/O threads. The format is that of a {@link ClientProtocol}.
 */
public final class RequestHandler {
    /**
     * Timeouts after which a connection is closed.
     *
     * @param responseTimeoutMs the time for a client to read a response
     * @param lingerMs the time for which a connection stays open after a response that was sent before the request was complete, so
     *     that the client can still read the response
     */
    public record Timing(long responseTimeoutMs, long lingerMs) {}

    private static final AttachmentKey<AtomicReference<AdmittedRequest>> REQUEST =
            AttachmentKey.create(AtomicReference.class);
    private static final Pattern PORT_SUFFIX = Pattern.compile(":\\d*$");
    private final Node node;
    private final EventLoop eventLoop;
    private final ClientProtocol protocol;
    private final Timing timing;

    public RequestHandler(
            final Node node, final EventLoop eventLoop, final ClientProtocol protocol, final Timing timing) {
        this.node = node;
        this.eventLoop = eventLoop;
        this.protocol = protocol;
        this.timing = timing;
    }

    /** Handles one request, from its head to its response. Called on the connection's I/O thread. */
    public void handle(final HttpServerExchange exchange) {
        final long receivedMs = System.nanoTime() / 1_000_000;
        final String invalidReason = invalidReason(exchange);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (invalidReason != null) {
                rejectMalformed(exchange);
            } else {
                submit(exchange, receivedMs);
            }
        });
    }

    void rejectMalformed(final HttpServerExchange exchange) {
        exchange.setPersistent(false);
        respond(exchange, new Response(ResultCode.MALFORMED, ExecutionStatus.UNDECIDED, null, null, 0, 0));
    }

    /** Returns why a request's head is invalid or can be parsed in more than one way; null if it is valid. */
    static String invalidReason(final HttpServerExchange exchange) {
        final var hosts = exchange.getRequestHeaders().get(Headers.HOST);
        return hosts != null && hosts.size() > 1 ? "Host" : HeaderFields.invalidReason(exchange.getRequestHeaders());
    }

    /** Closes the exchange's connection if {@code done} is still false after the timeout. */
    static void closeUnless(final HttpServerExchange exchange, final long timeoutMillis, final BooleanSupplier done) {
        final XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (!done.getAsBoolean()) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        },
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((e, next) -> {
            timer.remove();
            next.proceed();
        });
    }

    /** Returns whether no response can be written any more: one has been started, or the connection is closed. */
    private static boolean isAnswered(final HttpServerExchange exchange) {
        return exchange.isResponseStarted()
                || exchange.isComplete()
                || !exchange.getConnection().isOpen();
    }

    /** Sends a response whose headers are already set. Does nothing if a response was started or the connection is closed. */
    void send(final HttpServerExchange exchange, final int status, final byte[] body) {
        if (isAnswered(exchange)) {
            return;
        }
        exchange.setStatusCode(status);
        if (exchange.isRequestComplete()) {
            closeUnless(exchange, timing.responseTimeoutMs(), exchange::isComplete);
        } else {
            exchange.setPersistent(false);
            closeUnless(exchange, timing.lingerMs(), exchange::isComplete);
        }
        if (status == 204 || status == 304 || exchange.getRequestMethod().equals(Methods.HEAD)) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        }
    }

    void submit(final HttpServerExchange exchange, final long receivedMs) {
        final AdmissionController admissionController = node.admissionController();
        final RequestHead head = protocol.readHead(
                exchange.getRequestMethod().toString(),
                host(exchange),
                target(exchange),
                exchange.getRequestHeaders(),
                bodyBytes(exchange));
        if (admissionController == null) {
            respond(exchange, new Response(ResultCode.NO_BINDING, ExecutionStatus.NOT_RUN, null, null, 0, 0));
        } else if (!eventLoop.offer(() -> admit(exchange, admissionController, head, receivedMs))) {
            respond(exchange, admissionController.overloaded(head));
        }
    }

    private void admit(
            final HttpServerExchange exchange,
            final AdmissionController admissionController,
            final RequestHead receivedHead,
            final long receivedMs) {
        final RequestHead head = receivedHead.afterWaiting(System.nanoTime() / 1_000_000 - receivedMs);
        final AdmissionResult admission =
                admissionController.admit(head, a -> exchange.getIoThread().execute(() -> respond(exchange, a)));
        if (admission instanceof AdmissionResult.Rejected rejected) {
            exchange.getIoThread().execute(() -> respond(exchange, rejected.response()));
        } else {
            final AdmittedRequest request = ((AdmissionResult.Admitted) admission).request();
            exchange.getIoThread().execute(() -> receiveBody(exchange, request));
        }
    }

    /** Returns the length of the request's body, -1 if it isn't known in advance. */
    private static long bodyBytes(final HttpServerExchange exchange) {
        return exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)
                ? -1
                : Math.max(0, exchange.getRequestContentLength());
    }

    /** Returns the host from the Host header, in lower case and without its port; empty if there is none. */
    private static String host(final HttpServerExchange exchange) {
        final String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        return host == null ? "" : PORT_SUFFIX.matcher(host).replaceFirst("").toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the request target as received. Undertow parses path and query separately, so a trailing {@code ?} without a query is
     * lost.
     */
    private static String target(final HttpServerExchange exchange) {
        final String query = exchange.getQueryString();
        return query == null || query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    /**
     * Records the request as the connection's current one, which is notified if the client disconnects. A connection has one close
     * listener for all its requests.
     */
    private void trackConnection(final HttpServerExchange exchange, final AdmittedRequest request) {
        AtomicReference<AdmittedRequest> tracked = exchange.getConnection().getAttachment(REQUEST);
        if (tracked == null) {
            final AtomicReference<AdmittedRequest> created = new AtomicReference<>();
            exchange.getConnection().putAttachment(REQUEST, created);
            exchange.getConnection().addCloseListener(c -> onDisconnected(created));
            tracked = created;
        }
        final AtomicReference<AdmittedRequest> current = tracked;
        current.set(request);
        HttpListener.onEndOfInput(exchange, () -> onDisconnected(current));
        exchange.addExchangeCompleteListener((e, next) -> {
            if (current.compareAndSet(request, null)) {
                eventLoop.execute(request::onResponseWritten);
            }
            next.proceed();
        });
    }

    private void onDisconnected(final AtomicReference<AdmittedRequest> current) {
        final AdmittedRequest request = current.getAndSet(null);
        if (request != null) {
            eventLoop.execute(request::onClientDisconnected);
        }
    }

    /**
     * Receives the body of an admitted request. A client that sent {@code Expect: 100-continue} gets its 100 response only now,
     * after admission.
     */
    private void receiveBody(final HttpServerExchange exchange, final AdmittedRequest request) {
        trackConnection(exchange, request);
        if (!HttpContinue.requiresContinueResponse(exchange)) {
            readBody(exchange, request);
            return;
        }
        HttpContinue.sendContinueResponse(exchange, new IoCallback() {
            @Override
            public void onComplete(final HttpServerExchange e, final Sender sender) {
                readBody(e, request);
            }

            @Override
            public void onException(final HttpServerExchange e, final Sender sender, final IOException error) {
                eventLoop.execute(() -> request.onBodyFailed(ResultCode.MALFORMED));
            }
        });
    }

    private void readBody(final HttpServerExchange exchange, final AdmittedRequest request) {
        // The receiver's own limit leaves the connection open for the response; Undertow's limit on entity size would
        // close it.
        final Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(Math.max(1, request.serviceLimits().requestMaxBytes()));
        receiver.receiveFullBytes(
                (e, body) ->
                        e.dispatch(SameThreadExecutor.INSTANCE, () -> eventLoop.execute(() -> request.onBody(body))),
                (e, error) -> e.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> eventLoop.execute(() -> request.onBodyFailed(
                                error instanceof Receiver.RequestToLargeException
                                        ? ResultCode.TOO_LARGE
                                        : ResultCode.MALFORMED))));
    }

    private void respond(final HttpServerExchange exchange, final Response response) {
        if (isAnswered(exchange)) {
            return;
        }
        if (response.content() != null) {
            HeaderFields.addAll(
                    exchange.getResponseHeaders(), response.content().headers());
        }
        protocol.writeHeaders(response, exchange.getResponseHeaders());
        send(
                exchange,
                protocol.status(response),
                response.content() != null ? response.content().body() : protocol.errorBody(response));
    }
}
