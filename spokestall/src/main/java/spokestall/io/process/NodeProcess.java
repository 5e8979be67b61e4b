package spokestall.io.process;

import com.google.common.flogger.FluentLogger;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
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
import spokestall.io.OpenResult;
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

/** Runs a node as a process: creates its threads, files and sockets, starts it, and shuts it down gracefully. */
public final class NodeProcess {
    /** Wrappers around the node's storage and usage reports, for fault injection; the shipped program uses none. */
    public interface Wrappers {
        /** Returns the store that the node uses instead of {@code disk}. */
        default SegmentStore wrapStore(final SegmentStore disk) {
            return disk;
        }

        /** Returns the client that the node uses instead of {@code platform}. */
        default UsageReportClient wrapUsageReports(final UsageReportClient platform) {
            return platform;
        }
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int EVENT_QUEUE_CAPACITY = 8192;
    /** The interval of checks for whether the settings file has changed; on a signal the file is read at once. */
    private static final long SETTINGS_CHECK_INTERVAL_MS = 2000;

    /** The time beyond {@code stopWaitMs} that a shutdown may take, for a core to release its roles. */
    private static final long ROLES_RELEASE_MS = 400;

    /** Keeps directories owned until the process ends: disk writes may go on while a node shuts down. */
    private static final Queue<DataDirectory> OWNED_DIRECTORIES = new ConcurrentLinkedQueue<>();

    private final Settings settings;
    private final SettingsSource source;
    private final boolean core;
    private final Wrappers wrappers;
    private final ProtocolAdapter protocol;
    private Node node;

    /** Creates a process with spokestall's own protocols and constant settings. */
    public NodeProcess(final Settings settings, final boolean core) {
        this(settings, core, new Wrappers() {}, ProtocolAdapter.nativeAdapter());
    }

    /** Creates a process with constant settings. */
    public NodeProcess(final Settings settings, final boolean core, final ProtocolAdapter protocol) {
        this(settings, core, new Wrappers() {}, protocol);
    }

    /** Creates a process whose settings may change while it runs. */
    public NodeProcess(
            final Settings settings, final SettingsSource source, final boolean core, final ProtocolAdapter protocol) {
        this(settings, source, core, new Wrappers() {}, protocol);
    }

    /** Creates a process with constant settings and wrappers. */
    public NodeProcess(
            final Settings settings, final boolean core, final Wrappers wrappers, final ProtocolAdapter protocol) {
        this(settings, SettingsSource.constant(settings), core, wrappers, protocol);
    }

    /**
     * Creates a process.
     *
     * @param settings the settings at the start
     * @param source the source of changed settings
     * @param core whether the node is a core; otherwise it is an edge
     */
    public NodeProcess(
            final Settings settings,
            final SettingsSource source,
            final boolean core,
            final Wrappers wrappers,
            final ProtocolAdapter protocol) {
        this.source = source;
        this.protocol = protocol;
        this.wrappers = wrappers;
        this.settings = settings;
        this.core = core;
    }

    /**
     * Runs the node until the process is asked to stop. Returns the exit code: 0 after a graceful shutdown, 2 if the node could not
     * be started.
     */
    public int run() throws IOException {
        final XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, (int) settings.integer("ioThreads"))
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 2)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        final XnioIoThread timer = worker.getIoThread();
        final EventLoop eventLoop = new EventLoop(eventLoopExecutor(timer), EVENT_QUEUE_CAPACITY);
        final ExecutorService diskExecutor = Executors.newSingleThreadExecutor();
        if (core) {
            final OpenResult opened = DataDirectory.open(Path.of(settings.text("data")), settings.text("name"));
            if (opened instanceof OpenResult.Refused refused) {
                return startFailed("data: " + refused.reason());
            }
            OWNED_DIRECTORIES.add(((OpenResult.Opened) opened).directory());
        }
        final SegmentStore segmentStore;
        try {
            segmentStore = core
                    ? wrappers.wrapStore(FileSegmentStore.open(
                            Path.of(settings.text("data"), "ring"),
                            (int) settings.integer("ringSegments"),
                            (int) settings.integer("ringSegmentBytes"),
                            new EventLoop(diskExecutor, 1 << 16),
                            eventLoop))
                    : null;
        } catch (final IOException e) {
            return startFailed("data: can't create the log files in ring: " + e.getMessage());
        }
        final AuditSink auditSink = openAudit(Executors.newSingleThreadExecutor());
        final Clock clock = new SystemClock(timer, eventLoop);
        final TcpTransport transport = new TcpTransport(
                worker,
                message -> eventLoop.offer(() -> node.onMessage(message)),
                settings.fractionOf("leaveBoundMs", 0.25),
                (int) settings.integer("noteVersion"),
                new TrustedNetworks(settings.peerNetworks()));
        final HttpUpstreamClient upstreams = new HttpUpstreamClient(
                new HttpClient(worker, new DefaultByteBufferPool(true, 16 << 10), settings.integer("wireRestMs")),
                eventLoop,
                settings.text("platform"),
                protocol.upstream(),
                protocol.platform(),
                settings.integer("connectMs"));
        final CountDownLatch created = new CountDownLatch(1);
        eventLoop.execute(() -> {
            try {
                node = new Node(
                        settings,
                        core,
                        new NodeEnvironment(
                                clock,
                                new Random(new SecureRandom().nextLong()),
                                transport,
                                segmentStore,
                                upstreams,
                                upstreams,
                                wrappers.wrapUsageReports(upstreams),
                                auditSink),
                        protocol.configurationFormat());
            } finally {
                created.countDown();
            }
        });
        await(created);
        if (node == null) {
            return startFailed("the node could not be created; see the log");
        }
        final Listener server = protocol.createListener(node, settings, eventLoop, worker);
        try {
            transport.listen(Addresses.of(settings.listenAddress()));
            server.start();
        } catch (final IOException | RuntimeException e) {
            return startFailed("address: can't listen on " + settings.listenAddress() + " or " + settings.text("http")
                    + " or " + settings.operatorAddress() + ": " + e.getMessage());
        }
        eventLoop.execute(() -> {
            node.listenToConfiguration(configuration -> server.applyLimits(configuration.limits()));
            node.start();
        });
        watchSettings(timer, worker, eventLoop, server);
        final CountDownLatch shutdownComplete = new CountDownLatch(1);
        final CountDownLatch transportClosed = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            eventLoop.execute(() -> node.shutDown(server.connections(), shutdownComplete::countDown));
            try {
                shutdownComplete.await(settings.integer("stopWaitMs") + ROLES_RELEASE_MS, TimeUnit.MILLISECONDS);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            transport.close();
            transportClosed.countDown();
        }));
        await(transportClosed);
        return 0;
    }

    /**
     * Reloads settings on a signal or when their file changes. They are read and validated on {@code reader} and applied on the
     * event loop.
     */
    private void watchSettings(
            final XnioIoThread timer, final Executor reader, final EventLoop eventLoop, final Listener server) {
        final SettingsReloader reloader = new SettingsReloader(
                source,
                new EventLoop(reader, EVENT_QUEUE_CAPACITY),
                changed -> eventLoop.execute(() -> server.applySettings(node.applySettings(changed))));
        HangupSignal.process().setListener(reloader::reload);
        if (source.file().isPresent()) {
            timer.executeAtInterval(reloader::checkFile, SETTINGS_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns the executor of the event loop's turns: a thread pool of its own, or, without workers, the I/O thread of its timers and
     * connections. On the I/O thread an event passes from a connection to the event loop and back without waking another thread.
     */
    private Executor eventLoopExecutor(final XnioIoThread io) {
        final int workers = (int) settings.integer("workers");
        return workers == 0 ? io : Executors.newFixedThreadPool(workers);
    }

    /** Opens a core's audit. If that fails, the core logs a warning and runs without an audit instead of not starting. */
    private AuditSink openAudit(final ExecutorService writer) {
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

    private static int startFailed(final String reason) {
        System.err.println(reason);
        LOG.atSevere().log("event=refused why=\"%s\"", reason);
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
