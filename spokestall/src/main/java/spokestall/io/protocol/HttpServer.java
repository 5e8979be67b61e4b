package spokestall.io.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioWorker;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ClientLimits;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.EventLoop;
import spokestall.io.http.HttpListener;
import spokestall.node.ClientConnections;
import spokestall.node.Node;
import spokestall.settings.Settings;

/**
 * The HTTP server of a node, with one address for clients and another for operators. Clients can call {@code POST /rpc/where} on
 * every node, and send requests for upstreams, which edges serve. Operators can call {@code POST /rpc/<method>} only.
 */
public final class HttpServer implements Listener {
    /**
     * Sizes and timeouts, from the settings.
     *
     * @param rpcMaxBytes the largest body of an operator's call
     * @param whereMaxBytes the largest body of a client's {@code where} call
     * @param bodyTimeoutMs the time for a call's body to arrive before its connection is closed
     * @param responseTimeoutMs the time for a client to read a response before its connection is closed
     * @param lingerMs the time for which a connection stays open after a response that was sent before the request was complete, so
     *     that the client can still read the response
     */
    record Limits(
            int rpcMaxBytes,
            int whereMaxBytes,
            int maxConnections,
            long bodyTimeoutMs,
            long responseTimeoutMs,
            long lingerMs) {}

    private static final String RPC_PREFIX = "/rpc/";
    private static final String WHERE_PATH = RPC_PREFIX + "where";
    private final Node node;
    private final EventLoop eventLoop;
    private final Limits limits;
    private final RequestHandler requests;
    private final HttpListener listener;

    HttpServer(
            final Node node,
            final EventLoop eventLoop,
            final XnioWorker worker,
            final InetSocketAddress clients,
            final InetSocketAddress operators,
            final Limits limits) {
        this.node = node;
        this.eventLoop = eventLoop;
        this.limits = limits;
        this.requests = new RequestHandler(
                node,
                eventLoop,
                new NativeClientProtocol(),
                new RequestHandler.Timing(limits.responseTimeoutMs(), limits.lingerMs()));
        this.listener = new HttpListener(
                worker,
                OptionMap.builder()
                        .set(Options.CONNECTION_HIGH_WATER, limits.maxConnections())
                        .set(Options.CONNECTION_LOW_WATER, limits.maxConnections())
                        .getMap(),
                OptionMap.EMPTY,
                node.configurationStore().configuration().limits());
        listener.listen(clients, e -> handle(e, false));
        listener.listen(operators, e -> handle(e, true));
    }

    @Override
    public void start() throws IOException {
        listener.start();
    }

    @Override
    public void applySettings(final Settings settings) {
        // The sizes and timeouts are fixed for the lifetime of the process.
    }

    @Override
    public void applyLimits(final ClientLimits limits) {
        listener.applyLimits(limits);
    }

    @Override
    public ClientConnections connections() {
        return listener;
    }

    private void handle(final HttpServerExchange exchange, final boolean operator) {
        final long receivedMs = System.nanoTime() / 1_000_000;
        final String invalidReason = RequestHandler.invalidReason(exchange);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            if (invalidReason != null) {
                requests.rejectMalformed(exchange);
            } else if (operator && exchange.getRequestPath().startsWith(RPC_PREFIX)) {
                rpc(exchange, limits.rpcMaxBytes());
            } else if (!operator && exchange.getRequestPath().equals(WHERE_PATH)) {
                rpc(exchange, limits.whereMaxBytes());
            } else if (operator || exchange.getRequestPath().startsWith(RPC_PREFIX)) {
                reply(exchange, Reply.of(ResultCode.UNKNOWN_METHOD, null));
            } else {
                requests.submit(exchange, receivedMs);
            }
        });
    }

    private void rpc(final HttpServerExchange exchange, final int maxBytes) {
        if (!exchange.getRequestMethod().equals(Methods.POST)) {
            reply(exchange, Reply.of(ResultCode.UNKNOWN_METHOD, null));
            return;
        }
        exchange.getRequestReceiver().setMaxBufferSize(maxBytes);
        RequestHandler.closeUnless(exchange, limits.bodyTimeoutMs(), exchange::isRequestComplete);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> {
                            JsonNode read;
                            try {
                                read = body.length == 0
                                        ? ConfigurationStore.JSON.createObjectNode()
                                        : ConfigurationStore.JSON.readTree(body);
                            } catch (final IOException invalid) {
                                read = null;
                            }
                            final JsonNode params = read;
                            if (params == null) {
                                reply(
                                        e,
                                        Reply.of(
                                                ResultCode.BAD_PARAMS,
                                                ConfigurationStore.JSON
                                                        .createObjectNode()
                                                        .put("reason", "not JSON")));
                                return;
                            }
                            final String method = e.getRequestPath().substring(RPC_PREFIX.length());
                            e.dispatch(SameThreadExecutor.INSTANCE, () -> {
                                if (!eventLoop.offer(() -> call(e, method, params))) {
                                    reply(e, Reply.of(ResultCode.BUSY, null));
                                }
                            });
                        },
                        (e, error) -> reply(e, Reply.of(ResultCode.TOO_LARGE, null)));
    }

    private void call(final HttpServerExchange exchange, final String method, final JsonNode params) {
        try {
            node.call(method, params, r -> exchange.getIoThread().execute(() -> reply(exchange, r)));
        } catch (final RuntimeException e) {
            exchange.getIoThread().execute(() -> reply(exchange, Reply.of(ResultCode.FAULT, null)));
            throw e;
        }
    }

    private void reply(final HttpServerExchange exchange, final Reply reply) {
        if (reply.result().httpStatus() == 503) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        requests.send(
                exchange, reply.result().httpStatus(), reply.json().toString().getBytes(StandardCharsets.UTF_8));
    }
}
