package spokestall.io.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ConnectionUtils;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * One client's connection: whether a request is under way on it, and since when it rests or waits for the rest of a head.
 * It stands where the connection's bytes are read, so it knows when a head begins. It is ended in order: its sending half
 * is closed, what arrives then is left unread, and a while later it is closed whole.
 */
final class ClientConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** What holds for all connections at a port, as it is now. */
    interface Limits {
        /** From the first byte of a request's head until it is whole. */
        long headTimeoutMs();

        /** From one answer to the next request. */
        long idleTimeoutMs();

        /** Monotonic. */
        long nowMs();
    }

    private static final long NONE = Long.MIN_VALUE;
    /** For the closing of the sending half to reach the client before what it sends meets a reset. */
    private static final long LINGER_MS = 1000;

    /** How often a request that is under way is looked at for whether its client is still there. */
    private static final long END_OF_INPUT_CHECK_MS = 200;

    private static final int READ_AHEAD_BYTES = 512;

    private static final String TIMEOUT_RESPONSE =
            "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    private final StreamConnection connection;
    private final Limits limits;
    private final int headMaxBytes;
    private HttpServerConnection http;
    private long idleSinceMs;
    private long headSinceMs = NONE;
    private boolean busy;
    private boolean ended;
    private XnioExecutor.Key timer;
    private long timerMs;
    /** What was read ahead while a request was under way: the beginning of the next one. */
    private final ByteBuffer readAhead = ByteBuffer.allocate(READ_AHEAD_BYTES).limit(0);
    /** Run when the client closes its sending half while a request is under way; null while that is of no interest. */
    private Runnable onEndOfInput;

    private HttpServerExchange watched;
    private long watchedSinceMs;
    private boolean checkScheduled;

    ClientConnection(final StreamConnection connection, final Limits limits, final int headMaxBytes) {
        super(connection.getSourceChannel().getConduit());
        this.connection = connection;
        this.limits = limits;
        this.headMaxBytes = headMaxBytes;
        this.idleSinceMs = limits.nowMs();
    }

    /** The connection that a request came on. */
    static ClientConnection of(final HttpServerExchange exchange) {
        final HttpServerConnection http = (HttpServerConnection) exchange.getConnection();
        return (ClientConnection) http.getOriginalSourceConduit();
    }

    /** The longest head that this connection takes. */
    int headMaxBytes() {
        return headMaxBytes;
    }

    @Override
    public int read(final ByteBuffer into) throws IOException {
        final int bytes = readAhead.hasRemaining() ? takeReadAhead(into) : super.read(into);
        if (bytes >= 0) {
            onRead(bytes);
        }
        return bytes;
    }

    /** A head that came whole is taken before more is read; one of which nothing more is there now must be waited for. */
    private synchronized void onRead(final int bytes) {
        if (busy || ended) {
            return;
        }
        if (bytes > 0 && headSinceMs == NONE) {
            headSinceMs = limits.nowMs();
        } else if (bytes == 0 && headSinceMs != NONE) {
            arm();
        }
    }

    private int takeReadAhead(final ByteBuffer into) {
        final int bytes = Math.min(readAhead.remaining(), into.remaining());
        into.put(into.position(), readAhead, readAhead.position(), bytes);
        into.position(into.position() + bytes);
        readAhead.position(readAhead.position() + bytes);
        return bytes;
    }

    /** What was read ahead wakes nobody up by itself. */
    @Override
    public void resumeReads() {
        if (readAhead.hasRemaining()) {
            wakeupReads();
        } else {
            super.resumeReads();
        }
    }

    /**
     * Runs a task, once, if the client closes its sending half before the exchange's response is written. Nothing else reads the
     * connection meanwhile. Called on the connection's I/O thread, and runs the task there.
     */
    synchronized void onEndOfInput(final HttpServerExchange exchange, final Runnable task) {
        watched = exchange;
        onEndOfInput = task;
        watchedSinceMs = limits.nowMs();
        if (!checkScheduled) {
            scheduleEndOfInputCheck();
        }
    }

    private void scheduleEndOfInputCheck() {
        checkScheduled = true;
        after(END_OF_INPUT_CHECK_MS, this::checkEndOfInput);
    }

    private void checkEndOfInput() {
        final Runnable task;
        synchronized (this) {
            checkScheduled = false;
            if (onEndOfInput == null || ended) {
                return;
            }
            if (limits.nowMs() - watchedSinceMs < END_OF_INPUT_CHECK_MS
                    || !watched.isRequestComplete()
                    || !inputEnded()) {
                scheduleEndOfInputCheck();
                return;
            }
            task = onEndOfInput;
            onEndOfInput = null;
            watched = null;
        }
        task.run();
    }

    /** Reads ahead, if nothing is there yet. A connection that failed is closed by whoever writes to it. */
    private boolean inputEnded() {
        if (readAhead.hasRemaining()) {
            return false;
        }
        int bytes = 0;
        readAhead.clear();
        try {
            bytes = super.read(readAhead);
        } catch (final IOException e) {
            bytes = -1;
        }
        readAhead.flip();
        return bytes < 0;
    }

    /** Its bounds count from now on. */
    synchronized void onOpened() {
        arm();
    }

    /** A request's head is whole. */
    synchronized void onRequest(final HttpServerExchange exchange) {
        http = (HttpServerConnection) exchange.getConnection();
        busy = true;
        headSinceMs = NONE;
    }

    /** A request's answer is written. */
    synchronized void onResponseWritten(final boolean last) {
        busy = false;
        onEndOfInput = null;
        ended |= last;
        headSinceMs = NONE;
        idleSinceMs = limits.nowMs();
        arm();
    }

    synchronized void onClosed() {
        ended = true;
        disarm();
    }

    /** Whether a request is under way here or may still come. */
    synchronized boolean isOpen() {
        return !ended;
    }

    /** Ends it if no request is under way; one whose head has come in part is answered as not run. */
    synchronized void closeUnlessBusy() {
        if (busy || ended || http != null && http.getExtraBytes() != null) {
            return;
        }
        if (headSinceMs != NONE) {
            rejectWithTimeout();
        } else {
            shutDownGracefully();
        }
    }

    /** A timer that is early enough stays, and looks again when it fires. */
    private void arm() {
        if (busy || ended) {
            return;
        }
        final long dueMs = dueMs();
        if (timer != null && timerMs > dueMs) {
            disarm();
        }
        if (timer == null) {
            timerMs = dueMs;
            timer = after(Math.max(1, dueMs - limits.nowMs()), this::onTimer);
        }
    }

    private void disarm() {
        if (timer != null) {
            timer.remove();
            timer = null;
        }
    }

    private long dueMs() {
        return headSinceMs != NONE ? headSinceMs + limits.headTimeoutMs() : idleSinceMs + limits.idleTimeoutMs();
    }

    private synchronized void onTimer() {
        timer = null;
        if (busy || ended) {
            return;
        }
        if (limits.nowMs() < dueMs()) {
            arm();
        } else {
            closeUnlessBusy();
        }
    }

    private void rejectWithTimeout() {
        ended = true;
        connection.getSourceChannel().suspendReads();
        new StringWriteChannelListener(TIMEOUT_RESPONSE) {
            @Override
            protected void writeDone(final StreamSinkChannel channel) {
                ConnectionUtils.cleanClose(connection);
            }
        }.setup(connection.getSinkChannel());
    }

    private void shutDownGracefully() {
        ended = true;
        disarm();
        connection.getSourceChannel().suspendReads();
        try {
            connection.getSinkChannel().shutdownWrites();
            connection.getSinkChannel().flush();
        } catch (final IOException e) {
            IoUtils.safeClose(connection);
            return;
        }
        timer = after(LINGER_MS, () -> IoUtils.safeClose(connection));
    }

    private XnioExecutor.Key after(final long delayMs, final Runnable task) {
        return connection.getIoThread().executeAfter(task, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Runs a task where this connection is read and written. */
    void execute(final Runnable task) {
        connection.getIoThread().execute(task);
    }
}
