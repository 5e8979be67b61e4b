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

/**
 * Messages to and from other nodes over TCP, each in a frame of its length (4 bytes) and its bytes. There is one outgoing connection
 * to each address, with a bounded queue. Messages that exceed the queue, or that are queued when the connection fails, are dropped.
 *
 * <p>The receiving side returns one byte after it has read. A connection on which such an acknowledgement is overdue is closed; after
 * a short delay the next message opens a new one.
 *
 * <p>Threading: {@link #send} from any thread; received messages are delivered on I/O threads.
 */
public final class TcpTransport implements MessageSender {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_FRAME_BYTES = MessageCodec.MAX_FIELD_BYTES + (1 << 20);
    private static final int MAX_QUEUED_FRAMES = 4096;
    private static final long MAX_QUEUED_BYTES = 2L * MAX_FRAME_BYTES;
    private static final long RECONNECT_DELAY_MS = 200;
    private static final int MAX_LOGGED = 64;
    /** The most bytes that one read returns. Most messages arrive complete, with their length, in a single read. */
    private static final int READ_BYTES = 4096;
    /** The most acknowledgement bytes that are read at once; any number of them acknowledges the connection. */
    private static final int ACK_READ_BYTES = 64;

    private final XnioWorker worker;
    private final Consumer<Message> receiver;
    private final long ackTimeoutMs;
    private final int encodedVersion;
    private final Predicate<InetAddress> trusted;
    private final Set<String> logged = ConcurrentHashMap.newKeySet();
    private final Map<String, OutgoingConnection> outgoing = new ConcurrentHashMap<>();
    private AcceptingChannel<StreamConnection> server;

    /**
     * Creates a transport.
     *
     * @param receiver receives each message, on an I/O thread
     * @param ackTimeoutMs the time without an acknowledgement after which an outgoing connection is closed and opened again; an attempt
     *     to connect may take twice as long
     * @param encodedVersion the version in which messages are encoded
     * @param trusted accepts the addresses whose connections are accepted
     */
    public TcpTransport(
            final XnioWorker worker,
            final Consumer<Message> receiver,
            final long ackTimeoutMs,
            final int encodedVersion,
            final Predicate<InetAddress> trusted) {
        this.encodedVersion = encodedVersion;
        this.trusted = trusted;
        this.ackTimeoutMs = ackTimeoutMs;
        this.worker = worker;
        this.receiver = receiver;
    }

    /** Starts to accept connections at an address. */
    public void listen(final InetSocketAddress address) throws IOException {
        server = worker.createStreamConnectionServer(
                address,
                (ChannelListener<AcceptingChannel<StreamConnection>>) acceptingChannel -> {
                    try {
                        StreamConnection connection = acceptingChannel.accept();
                        while (connection != null) {
                            onAccepted(connection);
                            connection = acceptingChannel.accept();
                        }
                    } catch (final IOException e) {
                        LOG.atWarning().log("event=accept_trouble why=%s", e.getMessage());
                    }
                },
                OptionMap.create(Options.TCP_NODELAY, true, Options.REUSE_ADDRESSES, true));
        server.resumeAccepts();
    }

    private void onAccepted(final StreamConnection connection) {
        final InetAddress from =
                connection.getPeerAddress(InetSocketAddress.class).getAddress();
        if (trusted.test(from)) {
            read(connection);
            return;
        }
        IoUtils.safeClose(connection);
        if (logged.size() < MAX_LOGGED && logged.add(from.getHostAddress())) {
            LOG.atWarning().log("event=wire_refused from=%s why=\"not in a trusted network\"", from.getHostAddress());
        }
    }

    /** Stops accepting connections and closes the outgoing ones. */
    public void close() {
        IoUtils.safeClose(server);
        outgoing.values().forEach(OutgoingConnection::close);
    }

    @Override
    public void send(final String address, final Message message) {
        outgoing.computeIfAbsent(address, OutgoingConnection::new).send(MessageCodec.encode(message, encodedVersion));
    }

    private void read(final StreamConnection connection) {
        final IncomingConnection in = new IncomingConnection(connection);
        connection.getSourceChannel().setReadListener(in::read);
        connection.getSourceChannel().resumeReads();
    }

    /** A connection that a peer opened. */
    private final class IncomingConnection {
        private final StreamConnection connection;
        private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
        private ByteBuffer frame = ByteBuffer.allocate(4);
        private boolean readingLength = true;
        private boolean ackOwed;

        IncomingConnection(final StreamConnection connection) {
            this.connection = connection;
        }

        void read(final ConduitStreamSourceChannel channel) {
            try {
                int n = channel.read(readBuffer.clear());
                while (n > 0) {
                    ackOwed = true;
                    consume(readBuffer.flip());
                    // A read that does not fill the buffer has returned all available bytes.
                    n = n < READ_BYTES ? 0 : channel.read(readBuffer.clear());
                }
                acknowledge();
                if (n < 0) {
                    IoUtils.safeClose(connection);
                }
            } catch (final IOException e) {
                LOG.atFine().log("event=wire_closed why=%s", e.getMessage());
                IoUtils.safeClose(connection);
            }
        }

        private void consume(final ByteBuffer bytes) throws IOException {
            while (bytes.hasRemaining()) {
                final int part = Math.min(bytes.remaining(), frame.remaining());
                frame.put(bytes.slice().limit(part));
                bytes.position(bytes.position() + part);
                if (!frame.hasRemaining()) {
                    onFrameFilled();
                }
            }
        }

        /**
         * Returns one byte after each read, so that a peer also sees progress while it sends a large message over a slow connection. A
         * byte that can't be written now is returned after the next read.
         */
        private void acknowledge() throws IOException {
            if (ackOwed) {
                ackOwed = connection.getSinkChannel().write(ByteBuffer.allocate(1)) == 0;
                connection.getSinkChannel().flush();
            }
        }

        private void onFrameFilled() throws IOException {
            if (readingLength) {
                final int length = frame.flip().getInt();
                if (length < 2 || length > MAX_FRAME_BYTES) {
                    throw new IOException("invalid frame length: " + length + " bytes");
                }
                frame = ByteBuffer.allocate(length);
            } else {
                deliver();
                frame = ByteBuffer.allocate(4);
            }
            readingLength = !readingLength;
        }

        /**
         * Delivers a message. Messages of types or versions that this program doesn't know are skipped and logged once each; the
         * connection stays open.
         */
        private void deliver() throws IOException {
            try {
                receiver.accept(MessageCodec.decode(frame.array()));
            } catch (final UnknownMessageException e) {
                if (logged.size() < MAX_LOGGED && logged.add(e.getMessage())) {
                    LOG.atWarning().log(
                            "event=note_unknown what=\"%s\" own=%s", e.getMessage(), MessageCodec.CURRENT_VERSION);
                }
            }
        }
    }

    /** The connection to one peer, opened when there is a message to send. */
    private final class OutgoingConnection {
        private final String address;
        private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        private long queuedBytes;
        private long reconnectAtMs;
        private boolean connecting;
        private long connectStartedMs;
        private long unacknowledgedSinceMs = -1;
        private StreamConnection connection;
        private IoFuture<StreamConnection> pendingConnection;

        OutgoingConnection(final String address) {
            this.address = address;
        }

        synchronized void send(final byte[] message) {
            if (queue.size() >= MAX_QUEUED_FRAMES || queuedBytes + message.length > MAX_QUEUED_BYTES) {
                return;
            }
            final long nowMs = System.nanoTime() / 1_000_000;
            if (connection != null && unacknowledgedSinceMs >= 0 && nowMs - unacknowledgedSinceMs > ackTimeoutMs) {
                onClosed(connection);
            } else if (connecting && nowMs - connectStartedMs > 2 * ackTimeoutMs) {
                pendingConnection.cancel();
                onClosed(null);
            }
            if (connection == null) {
                if (!connecting && nowMs < reconnectAtMs) {
                    return;
                }
                if (!connecting) {
                    connect();
                }
            }
            queue.add(ByteBuffer.allocate(4 + message.length)
                    .putInt(message.length)
                    .put(message)
                    .flip());
            queuedBytes += message.length;
            if (connection != null && unacknowledgedSinceMs < 0) {
                unacknowledgedSinceMs = nowMs;
            }
            if (connection != null && queue.size() == 1) {
                final StreamConnection to = connection;
                to.getIoThread().execute(() -> write(to.getSinkChannel()));
            }
        }

        private void connect() {
            connecting = true;
            connectStartedMs = System.nanoTime() / 1_000_000;
            pendingConnection = worker.openStreamConnection(
                    Addresses.of(address),
                    (ChannelListener<StreamConnection>) this::onConnected,
                    OptionMap.create(Options.TCP_NODELAY, true));
            final IoFuture<StreamConnection> attempt = pendingConnection;
            attempt.addNotifier((future, a) -> onConnectEnded(attempt), null);
        }

        private synchronized void onConnectEnded(final IoFuture<StreamConnection> attempt) {
            if (attempt == pendingConnection && connecting && attempt.getStatus() != IoFuture.Status.DONE) {
                onClosed(null);
            }
        }

        private void onConnected(final StreamConnection opened) {
            synchronized (this) {
                if (connection != null || !connecting) {
                    IoUtils.safeClose(opened);
                    return;
                }
                connecting = false;
                connection = opened;
                unacknowledgedSinceMs = queue.isEmpty() ? -1 : System.nanoTime() / 1_000_000;
            }
            opened.getSourceChannel().setReadListener(c -> {
                try {
                    final ByteBuffer acks = ByteBuffer.allocate(ACK_READ_BYTES);
                    final int n = c.read(acks);
                    if (n > 0) {
                        onAcknowledged(opened);
                    } else if (n < 0) {
                        onClosed(opened);
                    }
                } catch (final IOException e) {
                    onClosed(opened);
                }
            });
            opened.getSourceChannel().resumeReads();
            opened.getSinkChannel().setWriteListener(this::write);
            write(opened.getSinkChannel());
        }

        private synchronized void onAcknowledged(final StreamConnection from) {
            if (from == connection) {
                unacknowledgedSinceMs = -1;
            }
        }

        private synchronized void onClosed(final StreamConnection closed) {
            IoUtils.safeClose(closed);
            if (closed == connection) {
                connecting = false;
                unacknowledgedSinceMs = -1;
                connection = null;
                queue.clear();
                queuedBytes = 0;
                reconnectAtMs = System.nanoTime() / 1_000_000 + RECONNECT_DELAY_MS;
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
                onClosed(connection);
            }
        }

        synchronized void close() {
            IoUtils.safeClose(connection);
        }
    }
}
