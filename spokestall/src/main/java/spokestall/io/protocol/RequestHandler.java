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

/** Takes clients' asks off their wires and brings the answers back, in whichever speech. */
public final class RequestHandler {
    /** Spans, from the settings. An answer that is not read within its wait ends its wire; a wire whose ask was answered
     * before its body had come ends after lingering so long, in which the answer can be read. */
    public record Timing(long answerWaitMs, long lingerMs) {}

    private static final AttachmentKey<AtomicReference<AdmittedRequest>> ASK =
            AttachmentKey.create(AtomicReference.class);
    private static final Pattern PORT = Pattern.compile(":\\d*$");
    private final Node node;
    private final EventLoop stage;
    private final ClientProtocol protocol;
    private final Timing timing;

    /** Example: {@code new RequestHandler(node, stage, protocol, new RequestHandler.Timing(30_000, 1000))} */
    public RequestHandler(final Node node, final EventLoop stage, final ClientProtocol protocol, final Timing timing) {
        this.node = node;
        this.stage = stage;
        this.protocol = protocol;
        this.timing = timing;
    }

    /** Handles one ask, from its head to its answer. */
    public void handle(final HttpServerExchange exchange) {
        final long cameMs = System.nanoTime() / 1_000_000;
        final String odd = odd(exchange);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (odd != null) {
                malformed(exchange);
            } else {
                ask(exchange, cameMs);
            }
        });
    }

    void malformed(final HttpServerExchange exchange) {
        exchange.setPersistent(false);
        answer(exchange, new Response(ResultCode.MALFORMED, ExecutionStatus.UNDECIDED, null, null, 0, 0));
    }

    /** What keeps a message from being read in one way only, or null. */
    static String odd(final HttpServerExchange exchange) {
        final var hosts = exchange.getRequestHeaders().get(Headers.HOST);
        return hosts != null && hosts.size() > 1 ? "Host" : HeaderFields.odd(exchange.getRequestHeaders());
    }

    /** Ends the wire of an exchange that is not that far by then. */
    static void endUnless(final HttpServerExchange exchange, final long waitMs, final BooleanSupplier far) {
        final XnioExecutor.Key timer = exchange.getIoThread()
                .executeAfter(
                        () -> {
                            if (!far.getAsBoolean()) {
                                IoUtils.safeClose(exchange.getConnection());
                            }
                        },
                        waitMs,
                        TimeUnit.MILLISECONDS);
        exchange.addExchangeCompleteListener((e, next) -> {
            timer.remove();
            next.proceed();
        });
    }

    /** Whether nothing may be written any more: its answer is under way, or its client has gone. */
    private static boolean answered(final HttpServerExchange exchange) {
        return exchange.isResponseStarted()
                || exchange.isComplete()
                || !exchange.getConnection().isOpen();
    }

    /** Sends an answer whose headers are set. */
    void send(final HttpServerExchange exchange, final int status, final byte[] body) {
        if (answered(exchange)) {
            return;
        }
        exchange.setStatusCode(status);
        if (exchange.isRequestComplete()) {
            endUnless(exchange, timing.answerWaitMs(), exchange::isComplete);
        } else {
            exchange.setPersistent(false);
            endUnless(exchange, timing.lingerMs(), exchange::isComplete);
        }
        if (status == 204 || status == 304 || exchange.getRequestMethod().equals(Methods.HEAD)) {
            exchange.endExchange();
        } else {
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        }
    }

    void ask(final HttpServerExchange exchange, final long cameMs) {
        final AdmissionController edge = node.admissionController();
        final RequestHead head = protocol.head(
                exchange.getRequestMethod().toString(),
                host(exchange),
                target(exchange),
                exchange.getRequestHeaders(),
                bodyBytes(exchange));
        if (edge == null) {
            answer(exchange, new Response(ResultCode.NO_BINDING, ExecutionStatus.NOT_RUN, null, null, 0, 0));
        } else if (!stage.offer(() -> open(exchange, edge, head, cameMs))) {
            answer(exchange, edge.overloaded(head));
        }
    }

    private void open(
            final HttpServerExchange exchange,
            final AdmissionController edge,
            final RequestHead came,
            final long cameMs) {
        final RequestHead head = came.afterWaiting(System.nanoTime() / 1_000_000 - cameMs);
        final AdmissionResult admission =
                edge.admit(head, a -> exchange.getIoThread().execute(() -> answer(exchange, a)));
        if (admission instanceof AdmissionResult.Rejected rejected) {
            exchange.getIoThread().execute(() -> answer(exchange, rejected.response()));
        } else {
            final AdmittedRequest request = ((AdmissionResult.Admitted) admission).request();
            exchange.getIoThread().execute(() -> body(exchange, request));
        }
    }

    /** How long the body is; -1 when that is not known. */
    private static long bodyBytes(final HttpServerExchange exchange) {
        return exchange.getRequestHeaders().contains(Headers.TRANSFER_ENCODING)
                ? -1
                : Math.max(0, exchange.getRequestContentLength());
    }

    /** The host that is asked for, without its port. */
    private static String host(final HttpServerExchange exchange) {
        final String host = exchange.getRequestHeaders().getFirst(Headers.HOST);
        return host == null ? "" : PORT.matcher(host).replaceFirst("").toLowerCase(Locale.ROOT);
    }

    /** The target as it came. Undertow keeps path and query apart, so a lone question mark at the end is lost. */
    private static String target(final HttpServerExchange exchange) {
        final String query = exchange.getQueryString();
        return query == null || query.isEmpty() ? exchange.getRequestURI() : exchange.getRequestURI() + "?" + query;
    }

    /** Which ask a wire carries now, so that it is told when the wire ends; one listener serves a wire for all its asks. */
    private void carry(final HttpServerExchange exchange, final AdmittedRequest request) {
        AtomicReference<AdmittedRequest> carried = exchange.getConnection().getAttachment(ASK);
        if (carried == null) {
            final AtomicReference<AdmittedRequest> made = new AtomicReference<>();
            exchange.getConnection().putAttachment(ASK, made);
            exchange.getConnection().addCloseListener(c -> disconnected(made));
            carried = made;
        }
        final AtomicReference<AdmittedRequest> here = carried;
        here.set(request);
        HttpListener.onEndOfInput(exchange, () -> disconnected(here));
        exchange.addExchangeCompleteListener((e, next) -> {
            if (here.compareAndSet(request, null)) {
                stage.execute(request::onResponseWritten);
            }
            next.proceed();
        });
    }

    private void disconnected(final AtomicReference<AdmittedRequest> carried) {
        final AdmittedRequest left = carried.getAndSet(null);
        if (left != null) {
            stage.execute(left::onClientDisconnected);
        }
    }

    /** Who sends the body only when told to is told so now, when the ask is let in. */
    private void body(final HttpServerExchange exchange, final AdmittedRequest request) {
        carry(exchange, request);
        if (!HttpContinue.requiresContinueResponse(exchange)) {
            receive(exchange, request);
            return;
        }
        HttpContinue.sendContinueResponse(exchange, new IoCallback() {
            @Override
            public void onComplete(final HttpServerExchange e, final Sender sender) {
                receive(e, request);
            }

            @Override
            public void onException(final HttpServerExchange e, final Sender sender, final IOException error) {
                stage.execute(() -> request.onBodyFailed(ResultCode.MALFORMED));
            }
        });
    }

    private void receive(final HttpServerExchange exchange, final AdmittedRequest request) {
        // The receiver's own bound leaves the wire open for the answer; an entity bound would cut it.
        final Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(Math.max(1, request.serviceLimits().requestMaxBytes()));
        receiver.receiveFullBytes(
                (e, body) -> e.dispatch(SameThreadExecutor.INSTANCE, () -> stage.execute(() -> request.onBody(body))),
                (e, error) -> e.dispatch(
                        SameThreadExecutor.INSTANCE,
                        () -> stage.execute(() -> request.onBodyFailed(
                                error instanceof Receiver.RequestToLargeException
                                        ? ResultCode.TOO_LARGE
                                        : ResultCode.MALFORMED))));
    }

    private void answer(final HttpServerExchange exchange, final Response a) {
        if (answered(exchange)) {
            return;
        }
        if (a.content() != null) {
            HeaderFields.put(exchange.getResponseHeaders(), a.content().headers());
        }
        protocol.headers(a, exchange.getResponseHeaders());
        send(exchange, protocol.status(a), a.content() != null ? a.content().body() : protocol.body(a));
    }
}
