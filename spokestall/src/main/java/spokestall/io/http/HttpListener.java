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

/**
 * Listens for HTTP on one or more addresses, applies the current client limits, and closes connections gracefully. The limits and the
 * methods of {@link ClientConnections} may be called from any thread; connections are handled on their I/O threads.
 */
public final class HttpListener implements ClientConnections {
    private record Listener(InetSocketAddress address, HttpHandler handler) {}

    private static final int SMALL_HEAP_BYTES = 128 << 20;
    private static final int BUFFER_BYTES_SMALL = 1 << 10;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int BACKLOG = 1000;
    private final XnioWorker worker;
    private final OptionMap socketOptions;
    private final OptionMap httpOptions;
    private final List<Listener> listeners = new ArrayList<>();
    private final List<HttpOpenListener> openListeners = new ArrayList<>();
    private final List<AcceptingChannel<?>> serverChannels = new ArrayList<>();
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final ClientConnection.Limits connectionLimits = new ClientConnection.Limits() {
        @Override
        public long headTimeoutMs() {
            return limits.headTimeoutMs();
        }

        @Override
        public long idleTimeoutMs() {
            return idleLimit.currentMs(nowMs());
        }

        @Override
        public long nowMs() {
            return System.nanoTime() / 1_000_000;
        }
    };
    private final IdleLimit idleLimit;
    private volatile ClientLimits limits;
    private volatile boolean closeAfterResponse;

    public HttpListener(
            final XnioWorker worker,
            final OptionMap socketOptions,
            final OptionMap httpOptions,
            final ClientLimits limits) {
        this.worker = worker;
        this.socketOptions = socketOptions;
        this.httpOptions = httpOptions;
        this.limits = limits;
        this.idleLimit = new IdleLimit(limits.idleTimeoutMs(), connectionLimits.nowMs());
    }

    /** Adds an address to listen on and the handler of its requests. Called before {@link #start}. */
    public void listen(final InetSocketAddress address, final HttpHandler handler) {
        listeners.add(new Listener(address, handler));
    }

    /** Starts to listen on all added addresses. */
    public void start() throws IOException {
        final boolean small = Runtime.getRuntime().maxMemory() < SMALL_HEAP_BYTES;
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
            final HttpOpenListener openListener = new HttpOpenListener(buffers, options(limits));
            openListener.setRootHandler(exchange -> handle(exchange, listener.handler()));
            openListeners.add(openListener);
            final AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                    listener.address(),
                    ChannelListeners.<StreamConnection>openListenerAdapter(
                            connection -> onAccepted(connection, openListener)),
                    sockets);
            serverChannels.add(channel);
            channel.resumeAccepts();
        }
    }

    private OptionMap options(final ClientLimits limits) {
        return OptionMap.builder()
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .addAll(httpOptions)
                .set(UndertowOptions.MAX_HEADER_SIZE, limits.headMaxBytes())
                .getMap();
    }

    private void onAccepted(final StreamConnection connection, final HttpOpenListener openListener) {
        final ClientConnection client = new ClientConnection(connection, connectionLimits, limits.headMaxBytes());
        connection.getSourceChannel().setConduit(client);
        clients.add(client);
        client.onOpened();
        openListener.handleEvent(connection);
        final ChannelListener<? super StreamConnection> next = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            remove(client);
            ChannelListeners.invokeChannelListener(closed, next);
        });
        if (!connection.isOpen()) {
            remove(client);
        }
    }

    /**
     * Runs a task, once, if the client of an exchange closes its sending half before the response is written. Called on the
     * exchange's I/O thread, and runs the task there.
     */
    public static void onEndOfInput(final HttpServerExchange exchange, final Runnable task) {
        ClientConnection.of(exchange).onEndOfInput(exchange, task);
    }

    private void remove(final ClientConnection client) {
        clients.remove(client);
        client.onClosed();
    }

    private void handle(final HttpServerExchange exchange, final HttpHandler handler) throws Exception {
        final ClientConnection client = ClientConnection.of(exchange);
        client.onRequest(exchange);
        exchange.addResponseCommitListener(e -> {
            // A connection keeps the head size limit that it was opened with, which may be lower than the current one.
            if (closeAfterResponse || client.headMaxBytes() < limits.headMaxBytes()) {
                e.setPersistent(false);
            }
        });
        exchange.addExchangeCompleteListener((e, next) -> {
            client.onResponseWritten(!e.isPersistent());
            next.proceed();
        });
        handler.handleRequest(exchange);
    }

    /**
     * Applies these limits from now on, to open connections too; those with a lower head size limit close after their next
     * response.
     */
    public void applyLimits(final ClientLimits newLimits) {
        if (newLimits.equals(limits)) {
            return;
        }
        limits = newLimits;
        idleLimit.change(newLimits.idleTimeoutMs(), connectionLimits.nowMs());
        openListeners.forEach(openListener -> openListener.setUndertowOptions(options(newLimits)));
    }

    @Override
    public void closeAfterResponses() {
        closeAfterResponse = true;
    }

    @Override
    public void stopAccepting() {
        serverChannels.forEach(IoUtils::safeClose);
    }

    @Override
    public void closeIdle() {
        clients.forEach(client -> client.execute(client::closeUnlessBusy));
    }

    @Override
    public int open() {
        int open = 0;
        for (final ClientConnection client : clients) {
            open += client.isOpen() ? 1 : 0;
        }
        return open;
    }
}
