package spokestall.io.transport;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import spokestall.io.Addresses;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.message.UnknownMessageException;

/** The wires to other processes: framed messages over TCP, one wire out to each, with a bounded queue in front. */
public final class TcpTransport implements MessageSender {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FRAME_MAX = MessageCodec.MAX_FIELD_BYTES + (1 << 20);
    private static final int QUEUE_FRAMES = 4096;
    private static final long QUEUE_BYTES = 2L * FRAME_MAX;
    private static final long AGAIN_MS = 200;
    private static final int UNKNOWN_MAX = 64;
    /** What one read takes at the most: most messages come whole, head and all, by a single one. */
    private static final int READ_BYTES = 4096;
    /** As many signs of being heard are read at once; one is enough to know. */
    private static final int ECHOES = 64;

    private final XnioWorker worker;
    private final Consumer<Message> heard;
    private final long silentMs;
    private final int version;
    private final Predicate<InetAddress> peers;
    private final Set<String> unknown = ConcurrentHashMap.newKeySet();
    private final Map<String, Out> outs = new ConcurrentHashMap<>();
    private AcceptingChannel<StreamConnection> server;

    /** A wire out that gives no sign of being heard for so long is given up and opened anew. */
    public TcpTransport(
            final XnioWorker worker,
            final Consumer<Message> heard,
            final long silentMs,
            final int version,
            final Predicate<InetAddress> peers) {
        this.version = version;
        this.peers = peers;
        this.silentMs = silentMs;
        this.worker = worker;
        this.heard = heard;
    }

    /** Example: {@code connections.listen(Addresses.of("127.0.0.1:7100"));} */
    public void listen(final InetSocketAddress at) throws IOException {
        server = worker.createStreamConnectionServer(
                at,
                (ChannelListener<AcceptingChannel<StreamConnection>>) a -> {
                    try {
                        StreamConnection connection = a.accept();
                        while (connection != null) {
                            take(connection);
                            connection = a.accept();
                        }
                    } catch (final IOException e) {
                        LOG.atWarning().log("event=accept_trouble why=%s", e.getMessage());
                    }
                },
                OptionMap.create(Options.TCP_NODELAY, true, Options.REUSE_ADDRESSES, true));
        server.resumeAccepts();
    }

    private void take(final StreamConnection connection) {
        final InetAddress from =
                connection.getPeerAddress(InetSocketAddress.class).getAddress();
        if (peers.test(from)) {
            read(connection);
            return;
        }
        IoUtils.safeClose(connection);
        if (unknown.size() < UNKNOWN_MAX && unknown.add(from.getHostAddress())) {
            LOG.atWarning().log("event=wire_refused from=%s why=\"not among peers\"", from.getHostAddress());
        }
    }

    /** Example: {@code connections.close();} */
    public void close() {
        IoUtils.safeClose(server);
        outs.values().forEach(Out::close);
    }

    @Override
    public void send(final String address, final Message message) {
        outs.computeIfAbsent(address, Out::new).send(MessageCodec.encode(message, version));
    }

    private void read(final StreamConnection connection) {
        final In in = new In(connection);
        connection.getSourceChannel().setReadListener(in::read);
        connection.getSourceChannel().resumeReads();
    }

    /** One wire that came in. */
    private final class In {
        private final StreamConnection connection;
        private final ByteBuffer came = ByteBuffer.allocate(READ_BYTES);
        private ByteBuffer frame = ByteBuffer.allocate(4);
        private boolean head = true;
        private boolean owed;

        In(final StreamConnection connection) {
            this.connection = connection;
        }

        void read(final ConduitStreamSourceChannel channel) {
            try {
                int n = channel.read(came.clear());
                while (n > 0) {
                    owed = true;
                    take(came.flip());
                    // A read that was not filled took all there was.
                    n = n < READ_BYTES ? 0 : channel.read(came.clear());
                }
                echo();
                if (n < 0) {
                    IoUtils.safeClose(connection);
                }
            } catch (final IOException e) {
                LOG.atFine().log("event=wire_closed why=%s", e.getMessage());
                IoUtils.safeClose(connection);
            }
        }

        private void take(final ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                final int part = Math.min(bytes.remaining(), frame.remaining());
                frame.put(bytes.slice().limit(part));
                bytes.position(bytes.position() + part);
                if (!frame.hasRemaining()) {
                    next();
                }
            }
        }

        /** One byte back for any that were heard, so that a long note on a slow wire counts too: the other side sees that someone is there. */
        private void echo() throws IOException {
            if (owed) {
                owed = connection.getSinkChannel().write(ByteBuffer.allocate(1)) == 0;
                connection.getSinkChannel().flush();
            }
        }

        private void next() throws IOException {
            if (head) {
                final int length = frame.flip().getInt();
                if (length < 2 || length > FRAME_MAX) {
                    throw new IOException("frame of " + length + " bytes");
                }
                frame = ByteBuffer.allocate(length);
            } else {
                take();
                frame = ByteBuffer.allocate(4);
            }
            head = !head;
        }

        /** What came after this program is skipped, and named once; the wire stays. */
        private void take() throws IOException {
            try {
                heard.accept(MessageCodec.decode(frame.array()));
            } catch (final UnknownMessageException e) {
                if (unknown.size() < UNKNOWN_MAX && unknown.add(e.getMessage())) {
                    LOG.atWarning().log(
                            "event=note_unknown what=\"%s\" own=%s", e.getMessage(), MessageCodec.CURRENT_VERSION);
                }
            }
        }
    }

    /** One wire out. */
    private final class Out {
        private final String address;
        private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        private long queuedBytes;
        private long againMs;
        private boolean opening;
        private long openedMs;
        private long unheardMs = -1;
        private StreamConnection connection;
        private IoFuture<StreamConnection> coming;

        Out(final String address) {
            this.address = address;
        }

        synchronized void send(final byte[] message) {
            if (queue.size() >= QUEUE_FRAMES || queuedBytes + message.length > QUEUE_BYTES) {
                return;
            }
            final long nowMs = System.nanoTime() / 1_000_000;
            if (connection != null && unheardMs >= 0 && nowMs - unheardMs > silentMs) {
                closed(connection);
            } else if (opening && nowMs - openedMs > 2 * silentMs) {
                coming.cancel();
                closed(null);
            }
            if (connection == null) {
                if (!opening && nowMs < againMs) {
                    return;
                }
                if (!opening) {
                    open();
                }
            }
            queue.add(ByteBuffer.allocate(4 + message.length)
                    .putInt(message.length)
                    .put(message)
                    .flip());
            queuedBytes += message.length;
            if (connection != null && unheardMs < 0) {
                unheardMs = nowMs;
            }
            if (connection != null && queue.size() == 1) {
                final StreamConnection to = connection;
                to.getIoThread().execute(() -> write(to.getSinkChannel()));
            }
        }

        private void open() {
            opening = true;
            openedMs = System.nanoTime() / 1_000_000;
            coming = worker.openStreamConnection(
                    Addresses.of(address),
                    (ChannelListener<StreamConnection>) this::opened,
                    OptionMap.create(Options.TCP_NODELAY, true));
            final IoFuture<StreamConnection> mine = coming;
            mine.addNotifier((future, a) -> failed(mine), null);
        }

        private synchronized void failed(final IoFuture<StreamConnection> of) {
            if (of == coming && opening && of.getStatus() != IoFuture.Status.DONE) {
                closed(null);
            }
        }

        private void opened(final StreamConnection to) {
            synchronized (this) {
                if (connection != null || !opening) {
                    IoUtils.safeClose(to);
                    return;
                }
                opening = false;
                connection = to;
                unheardMs = queue.isEmpty() ? -1 : System.nanoTime() / 1_000_000;
            }
            to.getSourceChannel().setReadListener(c -> {
                try {
                    final ByteBuffer echoes = ByteBuffer.allocate(ECHOES);
                    final int n = c.read(echoes);
                    if (n > 0) {
                        heardBack(to);
                    } else if (n < 0) {
                        closed(to);
                    }
                } catch (final IOException e) {
                    closed(to);
                }
            });
            to.getSourceChannel().resumeReads();
            to.getSinkChannel().setWriteListener(this::write);
            write(to.getSinkChannel());
        }

        private synchronized void heardBack(final StreamConnection from) {
            if (from == connection) {
                unheardMs = -1;
            }
        }

        private synchronized void closed(final StreamConnection was) {
            IoUtils.safeClose(was);
            if (was == connection) {
                opening = false;
                unheardMs = -1;
                connection = null;
                queue.clear();
                queuedBytes = 0;
                againMs = System.nanoTime() / 1_000_000 + AGAIN_MS;
            }
        }

        private void write(final ConduitStreamSinkChannel sink) {
            try {
                synchronized (this) {
                    while (!queue.isEmpty()) {
                        final ByteBuffer first = queue.peek();
                        sink.write(first);
                        if (first.hasRemaining()) {
                            sink.resumeWrites();
                            return;
                        }
                        queue.poll();
                        queuedBytes -= first.limit() - 4;
                    }
                    if (sink.flush()) {
                        sink.suspendWrites();
                    } else {
                        sink.resumeWrites();
                    }
                }
            } catch (final IOException e) {
                closed(connection);
            }
        }

        synchronized void close() {
            IoUtils.safeClose(connection);
        }
    }
}
