package spokestall.rim;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
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
import spokestall.wire.Codec;
import spokestall.wire.Note;
import spokestall.wire.Post;

/** The wires to other processes: framed notes over TCP, one wire out to each, with a bounded queue in front. */
public final class Wires implements Post {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int FRAME_MAX = Codec.FIELD_MAX + (1 << 20);
    private static final int QUEUE_FRAMES = 4096;
    private static final long QUEUE_BYTES = 2L * FRAME_MAX;
    private static final long AGAIN_MS = 200;
    private final XnioWorker worker;
    private final Consumer<Note> heard;
    private final Map<String, Out> outs = new ConcurrentHashMap<>();
    private AcceptingChannel<StreamConnection> server;

    /** Example: {@code new Wires(worker, note -> stage.offer(() -> node.hear(note)))} */
    public Wires(final XnioWorker worker, final Consumer<Note> heard) {
        this.worker = worker;
        this.heard = heard;
    }

    /** Example: {@code wires.listen(Addresses.of("127.0.0.1:7100"));} */
    public void listen(final InetSocketAddress at) throws IOException {
        server = worker.createStreamConnectionServer(at, (ChannelListener<AcceptingChannel<StreamConnection>>) a -> {
            try {
                StreamConnection wire = a.accept();
                while (wire != null) {
                    read(wire);
                    wire = a.accept();
                }
            } catch (final IOException e) {
                LOG.atWarning().log("event=accept_trouble why=%s", e.getMessage());
            }
        }, OptionMap.create(Options.TCP_NODELAY, true, Options.REUSE_ADDRESSES, true));
        server.resumeAccepts();
    }

    /** Example: {@code wires.close();} */
    public void close() {
        IoUtils.safeClose(server);
        outs.values().forEach(Out::close);
    }

    @Override
    public void send(final String address, final Note note) {
        outs.computeIfAbsent(address, Out::new).send(Codec.note(note));
    }

    private void read(final StreamConnection wire) {
        final In in = new In(wire);
        wire.getSourceChannel().setReadListener(in::read);
        wire.getSourceChannel().resumeReads();
    }

    /** One wire that came in. */
    private final class In {
        private final StreamConnection wire;
        private ByteBuffer frame = ByteBuffer.allocate(4);
        private boolean head = true;

        In(final StreamConnection wire) {
            this.wire = wire;
        }

        void read(final ConduitStreamSourceChannel channel) {
            try {
                while (true) {
                    final int n = channel.read(frame);
                    if (n < 0) {
                        IoUtils.safeClose(wire);
                        return;
                    }
                    if (frame.hasRemaining()) {
                        if (n == 0) {
                            return;
                        }
                        continue;
                    }
                    next();
                }
            } catch (final IOException e) {
                LOG.atFine().log("event=wire_closed why=%s", e.getMessage());
                IoUtils.safeClose(wire);
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
                heard.accept(Codec.note(frame.array()));
                frame = ByteBuffer.allocate(4);
            }
            head = !head;
        }
    }

    /** One wire out. */
    private final class Out {
        private final String address;
        private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
        private long queuedBytes;
        private long againMs;
        private boolean opening;
        private StreamConnection wire;

        Out(final String address) {
            this.address = address;
        }

        synchronized void send(final byte[] note) {
            if (queue.size() >= QUEUE_FRAMES || queuedBytes + note.length > QUEUE_BYTES) {
                return;
            }
            if (wire == null) {
                final long nowMs = System.nanoTime() / 1_000_000;
                if (!opening && nowMs < againMs) {
                    return;
                }
                if (!opening) {
                    open();
                }
            }
            queue.add(ByteBuffer.allocate(4 + note.length).putInt(note.length).put(note).flip());
            queuedBytes += note.length;
            if (wire != null && queue.size() == 1) {
                final StreamConnection to = wire;
                to.getIoThread().execute(() -> write(to.getSinkChannel()));
            }
        }

        private void open() {
            opening = true;
            worker.openStreamConnection(Addresses.of(address), (ChannelListener<StreamConnection>) this::opened,
                    OptionMap.create(Options.TCP_NODELAY, true)).addNotifier((future, a) -> {
                        if (future.getStatus() != IoFuture.Status.DONE) {
                            closed(null);
                        }
                    }, null);
        }

        private void opened(final StreamConnection to) {
            synchronized (this) {
                opening = false;
                wire = to;
            }
            to.getSourceChannel().setReadListener(c -> {
                try {
                    if (c.read(ByteBuffer.allocate(16)) < 0) {
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

        private synchronized void closed(final StreamConnection was) {
            opening = false;
            IoUtils.safeClose(was);
            if (was == wire) {
                wire = null;
                queue.clear();
                queuedBytes = 0;
                againMs = System.nanoTime() / 1_000_000 + AGAIN_MS;
            }
        }

        private void write(final ConduitStreamSinkChannel sink) {
            final StreamConnection to;
            try {
                synchronized (this) {
                    to = wire;
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
                closed(wire);
            }
        }

        synchronized void close() {
            IoUtils.safeClose(wire);
        }
    }
}
