package spokestall.io.http;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import spokestall.configuration.ClientLimits;
import spokestall.node.ClientConnections;

/** Listens for HTTP at some addresses, keeps to the clients' limits in force, and ends connections in order. */
public final class HttpListener implements ClientConnections {
    private record Listener(InetSocketAddress at, HttpHandler handler) {}

    private static final int SMALL_HEAP = 128 << 20;
    private static final int BUFFER_BYTES_SMALL = 1 << 10;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int BACKLOG = 1000;
    private final XnioWorker worker;
    private final OptionMap socketOptions;
    private final OptionMap httpOptions;
    private final List<Listener> listeners = new ArrayList<>();
    private final List<HttpOpenListener> openers = new ArrayList<>();
    private final List<AcceptingChannel<?>> accepting = new ArrayList<>();
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final ClientConnection.Terms terms = new ClientConnection.Terms() {
        @Override
        public long headWaitMs() {
            return limits.headTimeoutMs();
        }

        @Override
        public long restMaxMs() {
            return rest.atMs(nowMs());
        }

        @Override
        public long nowMs() {
            return System.nanoTime() / 1_000_000;
        }
    };
    private final IdleLimit rest;
    private volatile ClientLimits limits;
    private volatile boolean ending;

    /** Example: {@code new HttpListener(worker, OptionMap.EMPTY, OptionMap.EMPTY, configuration.limits())} */
    public HttpListener(
            final XnioWorker worker,
            final OptionMap socketOptions,
            final OptionMap httpOptions,
            final ClientLimits limits) {
        this.worker = worker;
        this.socketOptions = socketOptions;
        this.httpOptions = httpOptions;
        this.limits = limits;
        this.rest = new IdleLimit(limits.idleTimeoutMs(), terms.nowMs());
    }

    /** Listens at an address too, from its start on. */
    public void listen(final InetSocketAddress at, final HttpHandler handler) {
        listeners.add(new Listener(at, handler));
    }

    /** Example: {@code port.start();} */
    public void start() throws IOException {
        final boolean small = Runtime.getRuntime().maxMemory() < SMALL_HEAP;
        final ByteBufferPool buffers =
                new DefaultByteBufferPool(true, small ? BUFFER_BYTES_SMALL : BUFFER_BYTES, -1, 4);
        final OptionMap sockets = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, worker.getIoThreadCount())
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .addAll(socketOptions)
                .getMap();
        for (final Listener listener : listeners) {
            final HttpOpenListener opener = new HttpOpenListener(buffers, options(limits));
            opener.setRootHandler(exchange -> handle(exchange, listener.handler()));
            openers.add(opener);
            final AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                    listener.at(),
                    ChannelListeners.<StreamConnection>openListenerAdapter(connection -> accepted(connection, opener)),
                    sockets);
            accepting.add(channel);
            channel.resumeAccepts();
        }
    }

    private OptionMap options(final ClientLimits of) {
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .addAll(httpOptions)
                .set(UndertowOptions.MAX_HEADER_SIZE, of.headMaxBytes())
                .getMap();
    }

    private void accepted(final StreamConnection connection, final HttpOpenListener opener) {
        final ClientConnection client = new ClientConnection(connection, terms, limits.headMaxBytes());
        connection.getSourceChannel().setConduit(client);
        clients.add(client);
        client.opened();
        opener.handleEvent(connection);
        final ChannelListener<? super StreamConnection> next = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            forget(client);
            ChannelListeners.invokeChannelListener(closed, next);
        });
        if (!connection.isOpen()) {
            forget(client);
        }
    }

    /**
     * Runs a task, once, if the client of an exchange closes its sending half before the response is written. Called on the
     * exchange's I/O thread, and runs the task there.
     */
    public static void onEndOfInput(final HttpServerExchange exchange, final Runnable task) {
        ClientConnection.of(exchange).onEndOfInput(exchange, task);
    }

    private void forget(final ClientConnection client) {
        clients.remove(client);
        client.closed();
    }

    private void handle(final HttpServerExchange exchange, final HttpHandler handler) throws Exception {
        final ClientConnection client = ClientConnection.of(exchange);
        client.begun(exchange);
        exchange.addResponseCommitListener(e -> {
            // A connection that was opened under a tighter bound would not take what clients may send now.
            if (ending || client.headMaxBytes() < limits.headMaxBytes()) {
                e.setPersistent(false);
            }
        });
        exchange.addExchangeCompleteListener((e, next) -> {
            client.completed(!e.isPersistent());
            next.proceed();
        });
        handler.handleRequest(exchange);
    }

    /** Keeps clients to these limits from now on. */
    public void limits(final ClientLimits newer) {
        if (newer.equals(limits)) {
            return;
        }
        limits = newer;
        rest.change(newer.idleTimeoutMs(), terms.nowMs());
        openers.forEach(opener -> opener.setUndertowOptions(options(newer)));
    }

    @Override
    public void closeAfterResponses() {
        ending = true;
    }

    @Override
    public void stopAccepting() {
        accepting.forEach(IoUtils::safeClose);
    }

    @Override
    public void closeIdle() {
        clients.forEach(client -> client.execute(client::endUnlessUnderWay));
    }

    @Override
    public int open() {
        int open = 0;
        for (final ClientConnection client : clients) {
            open += client.open() ? 1 : 0;
        }
        return open;
    }
}
