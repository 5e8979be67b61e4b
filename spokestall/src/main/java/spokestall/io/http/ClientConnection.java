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
 * The state of one client's connection: whether a request is in progress, and since when the connection is idle or waits for the
 * remainder of a request's head. It is the conduit through which the connection is read, so it notices the first byte of each head.
 *
 * <p>A connection is closed gracefully: its sending half is shut down, bytes that arrive afterwards are not read, and after a short
 * time it is closed completely.
 *
 * <p>Threading: reads and timers run on the connection's I/O thread; other methods are synchronized.
 */
final class ClientConnection extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** The current limits for all connections of a listener. */
    interface Limits {
        /** Returns the time from the first byte of a request's head until the head is complete. */
        long headTimeoutMs();

        /** Returns the time from a response to the first byte of the next request. */
        long idleTimeoutMs();

        /** Returns the monotonic time. */
        long nowMs();
    }

    private static final long NONE = Long.MIN_VALUE;
    /**
     * The time between the shutdown of the sending half and the complete close, so that the client can see the shutdown before bytes
     * that it sends are answered with a reset.
     */
    private static final long LINGER_MS = 1000;

    /** The interval of checks for whether the client of a request in progress has closed its sending half. */
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
    /** Bytes that were read while a request was in progress: the beginning of the next request. */
    private final ByteBuffer readAhead = ByteBuffer.allocate(READ_AHEAD_BYTES).limit(0);
    /** Run when the client closes its sending half while a request is in progress; null if there is nothing to run. */
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

    /** Returns the connection of an exchange. */
    static ClientConnection of(final HttpServerExchange exchange) {
        final HttpServerConnection http = (HttpServerConnection) exchange.getConnection();
        return (ClientConnection) http.getOriginalSourceConduit();
    }

    /** Returns the largest head that this connection accepts; fixed when it was opened. */
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

    /**
     * Notices the start of a head and arms its timeout. Undertow parses a complete head before it reads again, so a read of no bytes
     * after the start of a head means that the head is incomplete.
     */
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

    /** Wakes the reader if there are bytes that were read ahead, since the socket doesn't become readable for those. */
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

    /**
     * Reads ahead, unless bytes were already read ahead, and returns whether the input has ended. A failed read counts as its end; the
     * connection is closed by the next write.
     */
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

    /** Starts the idle timeout. */
    synchronized void onOpened() {
        arm();
    }

    /** Called when a request's head is complete. */
    synchronized void onRequest(final HttpServerExchange exchange) {
        http = (HttpServerConnection) exchange.getConnection();
        busy = true;
        headSinceMs = NONE;
    }

    /** Called when a request's response has been written; {@code last} if the connection then closes. */
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

    /** Returns whether a request is in progress or may still arrive. */
    synchronized boolean isOpen() {
        return !ended;
    }

    /** Closes the connection unless a request is in progress. A request whose head is incomplete is answered with status 408. */
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

    /**
     * Arms the timer for the current deadline. A timer that is set for an earlier time is kept, and checks the deadline again when
     * it fires.
     */
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

    /** Runs a task on the connection's I/O thread. */
    void execute(final Runnable task) {
        connection.getIoThread().execute(task);
    }
}
