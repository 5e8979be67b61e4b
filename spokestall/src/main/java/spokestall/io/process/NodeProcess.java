package spokestall.io.process;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import spokestall.audit.AuditSink;
import spokestall.io.Addresses;
import spokestall.io.AuditFiles;
import spokestall.io.DataDirectory;
import spokestall.io.EventLoop;
import spokestall.io.SystemClock;
import spokestall.io.http.HttpClient;
import spokestall.io.protocol.HttpUpstreamClient;
import spokestall.io.protocol.Listener;
import spokestall.io.protocol.ProtocolAdapter;
import spokestall.io.transport.TcpTransport;
import spokestall.io.transport.TrustedNetworks;
import spokestall.node.Node;
import spokestall.node.NodeEnvironment;
import spokestall.settings.Settings;
import spokestall.settings.SettingsSource;
import spokestall.storage.FileSegmentStore;
import spokestall.storage.SegmentStore;
import spokestall.time.Clock;
import spokestall.usage.UsageReportClient;

/** A node as a process: the rim around it, from its start to a clean stop. */
public final class NodeProcess {
    /** What may stand between a node and its machine; the shipped program puts nothing there. */
    public interface Around {
        /** Example: {@code around.disk(segments)} */
        default SegmentStore disk(final SegmentStore disk) {
            return disk;
        }

        /** Example: {@code around.platform(outside)} */
        default UsageReportClient platform(final UsageReportClient platform) {
            return platform;
        }
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int STAGE_BOUND = 8192;
    /** How often the settings file is looked at; a change that is signalled is read at once. */
    private static final long LOOK_MS = 2000;

    /** How long a stop may take beyond its time, for a core's roles to be released. */
    private static final long ROLES_RELEASE_MS = 400;

    private final Settings settings;
    private final SettingsSource source;
    private final boolean core;
    private final Around around;
    private final ProtocolAdapter protocol;
    private Node node;

    /** Example: {@code new NodeProcess(settings, true).run()} */
    public NodeProcess(final Settings settings, final boolean core) {
        this(settings, core, new Around() {}, ProtocolAdapter.own());
    }

    /** Example: {@code new NodeProcess(settings, true, ProtocolAdapter.own()).run()} */
    public NodeProcess(final Settings settings, final boolean core, final ProtocolAdapter protocol) {
        this(settings, core, new Around() {}, protocol);
    }

    /** With settings that may change while it runs. */
    public NodeProcess(
            final Settings settings, final SettingsSource source, final boolean core, final ProtocolAdapter protocol) {
        this(settings, source, core, new Around() {}, protocol);
    }

    /** Example: {@code new NodeProcess(settings, true, new NodeProcess.Around() { }, Speech.own()).run()} */
    public NodeProcess(
            final Settings settings, final boolean core, final Around around, final ProtocolAdapter protocol) {
        this(settings, SettingsSource.constant(settings), core, around, protocol);
    }

    /** All of it. */
    public NodeProcess(
            final Settings settings,
            final SettingsSource source,
            final boolean core,
            final Around around,
            final ProtocolAdapter protocol) {
        this.source = source;
        this.protocol = protocol;
        this.around = around;
        this.settings = settings;
        this.core = core;
    }

    /** Runs until the process is told to stop; the exit code is 0 after a clean stop, 2 if it could not start. */
    public int run() throws IOException {
        final XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, (int) settings.integer("ioThreads"))
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 2)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        final XnioIoThread timer = worker.getIoThread();
        final EventLoop stage = new EventLoop(turns(timer), STAGE_BOUND);
        final ExecutorService disk = Executors.newSingleThreadExecutor();
        if (core) {
            final String why = DataDirectory.open(Path.of(settings.text("data")), settings.text("name"));
            if (why != null) {
                return refused("data: " + why);
            }
        }
        final SegmentStore segments;
        try {
            segments = core
                    ? around.disk(FileSegmentStore.open(
                            Path.of(settings.text("data"), "ring"),
                            (int) settings.integer("ringSegments"),
                            (int) settings.integer("ringSegmentBytes"),
                            new EventLoop(disk, 1 << 16),
                            stage))
                    : null;
        } catch (final IOException e) {
            return refused("data: the ring's files can't be made: " + e.getMessage());
        }
        final AuditSink audit = audit(Executors.newSingleThreadExecutor());
        final Clock clock = new SystemClock(timer, stage);
        final TcpTransport transport = new TcpTransport(
                worker,
                message -> stage.offer(() -> node.onMessage(message)),
                settings.fractionOf("leaveBoundMs", 0.25),
                (int) settings.integer("noteVersion"),
                new TrustedNetworks(settings.peerNetworks()));
        final HttpUpstreamClient outside = new HttpUpstreamClient(
                new HttpClient(worker, new DefaultByteBufferPool(true, 16 << 10), settings.integer("wireRestMs")),
                stage,
                settings.text("platform"),
                protocol.attempts(),
                protocol.platform(),
                settings.integer("connectMs"));
        final CountDownLatch made = new CountDownLatch(1);
        stage.execute(() -> {
            try {
                node = new Node(
                        settings,
                        core,
                        new NodeEnvironment(
                                clock,
                                new Random(new SecureRandom().nextLong()),
                                transport,
                                segments,
                                outside,
                                outside,
                                around.platform(outside),
                                audit),
                        protocol.form());
            } finally {
                made.countDown();
            }
        });
        await(made);
        if (node == null) {
            return refused("the node could not be made; see the log");
        }
        final Listener server = protocol.front(node, settings, stage, worker);
        try {
            transport.listen(Addresses.of(settings.listenAddress()));
            server.start();
        } catch (final IOException | RuntimeException e) {
            return refused("address: can't listen on " + settings.listenAddress() + " or " + settings.text("http")
                    + " or " + settings.operatorAddress() + ": " + e.getMessage());
        }
        stage.execute(() -> {
            node.listenToConfiguration(configuration -> server.limits(configuration.limits()));
            node.start();
        });
        watch(timer, worker, stage, server);
        final CountDownLatch stopped = new CountDownLatch(1);
        final CountDownLatch gone = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            stage.execute(() -> node.shutDown(server.connections(), stopped::countDown));
            try {
                stopped.await(settings.integer("stopWaitMs") + ROLES_RELEASE_MS, TimeUnit.MILLISECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            transport.close();
            gone.countDown();
        }));
        await(gone);
        return 0;
    }

    /** Settings are read and checked off the stage, and taken on it. */
    private void watch(final XnioIoThread timer, final Executor reader, final EventLoop stage, final Listener server) {
        final SettingsReloader watch = new SettingsReloader(
                source,
                new EventLoop(reader, STAGE_BOUND),
                newer -> stage.execute(() -> server.renew(node.applySettings(newer))));
        HangupSignal.process().listen(watch::signalled);
        if (source.file().isPresent()) {
            timer.executeAtInterval(watch::look, LOOK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** What runs the stage's turns: workers of its own, or the thread that has its timers and wires. There an event goes
     * from a wire to the stage and back without waking another thread. */
    private Executor turns(final XnioIoThread io) {
        final int workers = (int) settings.integer("workers");
        return workers == 0 ? io : Executors.newFixedThreadPool(workers);
    }

    /** A core goes on without its audit, and says so, rather than not at all. */
    private AuditSink audit(final ExecutorService writer) {
        if (!core || settings.integer("auditFiles") == 0) {
            return AuditSink.NONE;
        }
        try {
            return AuditFiles.open(
                    Path.of(settings.text("data"), "audit"),
                    settings.text("name"),
                    (int) settings.integer("auditFiles"),
                    (int) settings.integer("auditFileBytes"),
                    writer);
        } catch (final IOException e) {
            LOG.atWarning().log("event=audit_trouble node=%s why=\"%s\"", settings.text("name"), e.getMessage());
            return AuditSink.NONE;
        }
    }

    private static int refused(final String why) {
        System.err.println(why);
        LOG.atSevere().log("event=refused why=\"%s\"", why);
        return 2;
    }

    private static void await(final CountDownLatch latch) {
        try {
            latch.await();
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
