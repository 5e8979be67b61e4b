package spokestall.testbed.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.zip.CRC32;
import spokestall.audit.AuditSink;
import spokestall.discovery.DiscoveryClient;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.node.Node;
import spokestall.node.NodeEnvironment;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptHandle;
import spokestall.proxy.AttemptResult;
import spokestall.proxy.UpstreamClient;
import spokestall.settings.Settings;
import spokestall.settings.SettingsReader;
import spokestall.settings.SettingsResult;
import spokestall.testbed.simulation.SimulatedWorld;
import spokestall.time.Clock;
import spokestall.usage.ReportCall;
import spokestall.usage.ReportCallback;
import spokestall.usage.ReportPermit;
import spokestall.usage.ReportResult;
import spokestall.usage.SendDeadline;
import spokestall.usage.UsageCounter;
import spokestall.usage.UsageReportClient;

/** The product's own node on a lane of its own, with everything around it hollow; what it sends and computes is counted. */
final class ScaleNode {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long TICK_MS = 50;
    final String name;
    final boolean core;
    final int lane;
    final int zone;
    final int region;
    final String address;
    final ScaleTraffic traffic = new ScaleTraffic();
    final ScaleDisk disk;
    /** Asks that this edge counted, by window, over all its lives. */
    final Map<Long, Long> counted = new TreeMap<>();

    final CRC32 digest = new CRC32();
    /** Asks that came, and those not let in: the proof too old, or counts not with a majority in time. */
    final long[] requests = new long[Phase.values().length];

    final long[] stale = new long[Phase.values().length];
    final long[] uncounted = new long[Phase.values().length];
    /** How old a version was that was acted by after a newer one had been acknowledged, at the most. */
    long actedLateMs;

    long acted;
    long probes;
    private final ScaleRun run;
    private final Settings settings;
    private final long monotonicMs;
    private final String[] kinds = new String[ScaleTraffic.KINDS];
    private final Random chance;
    private Node node;
    private UsageCounter counter;
    private long incarnation;
    private long startedMs = -1;
    private double owed;

    ScaleNode(final ScaleRun run, final int i, final boolean core, final Map<String, String> shared) {
        this.run = run;
        this.lane = i;
        this.core = core;
        this.zone = run.shape.zoneOf(i);
        this.region = run.shape.regionOf(zone);
        this.name = run.shape.zone(i) + (core ? "-core-" : "-edge-") + i;
        this.address = ScaleShape.address(i);
        this.chance = run.random(name);
        this.monotonicMs = 1000L + chance.nextInt(1_000_000);
        this.disk = core ? new ScaleDisk(run.segmentBytes) : null;
        final Map<String, String> flags = new TreeMap<>(shared);
        flags.put("name", name);
        flags.put("address", address);
        flags.put("http", address.replace(":7100", ":7200"));
        flags.put("district", run.shape.zone(i));
        flags.put("data", "/scale/" + name);
        final SettingsResult read = SettingsReader.read(null, flags, core);
        if (read instanceof SettingsResult.Invalid bad) {
            throw new IllegalStateException(bad.errors().toString());
        }
        settings = ((SettingsResult.Valid) read).settings();
    }

    Node node() {
        return node;
    }

    boolean up() {
        return node != null;
    }

    /** Since when this life runs, in the run's time; -1 when down. */
    long upSinceMs() {
        return node == null ? -1 : startedMs;
    }

    String kind(final int number) {
        return number >= ScaleTraffic.TIMER ? ScaleTraffic.other(number) : kinds[number];
    }

    /** By the world: begins a life. */
    void start() {
        if (node != null) {
            return;
        }
        final long mine = ++incarnation;
        startedMs = run.steps.nowMs();
        owed = 0;
        run.steps.byWorld(lane, 0, () -> timed(ScaleTraffic.START, () -> begin(mine)));
    }

    private void begin(final long mine) {
        if (mine != incarnation) {
            return;
        }
        final Clock clock = new Clock() {
            @Override
            public long nowMs() {
                return monotonicMs + run.steps.nowMs();
            }

            @Override
            public long wallMs() {
                return SimulatedWorld.EPOCH_MS + run.steps.nowMs();
            }

            @Override
            public void after(final long waitMs, final Runnable event) {
                later(mine, waitMs, ScaleTraffic.TIMER, event);
            }
        };
        if (core) {
            disk.incarnation((waitMs, what) -> later(mine, waitMs, ScaleTraffic.DISK, what));
        }
        final Hollow hollow = new Hollow(mine);
        node = new Node(
                settings,
                core,
                new NodeEnvironment(
                        clock,
                        run.random(name + "/" + mine),
                        (to, message) -> send(mine, to, message),
                        disk,
                        hollow,
                        hollow,
                        hollow,
                        AuditSink.NONE));
        node.start();
        if (!core) {
            counter = node.usageCounter();
            later(mine, 1 + chance.nextInt((int) TICK_MS), ScaleTraffic.REQUESTS, () -> requests(mine));
        }
    }

    /** By the world: the process or its machine goes; the disk stays. */
    void kill() {
        if (node != null) {
            node = null;
            counter = null;
            incarnation++;
        }
    }

    /** By the world: something that is run on the node's lane, if it is up. */
    void call(final Consumer<Node> what) {
        final long mine = incarnation;
        run.steps.byWorld(lane, 0, () -> run(mine, ScaleTraffic.CALL, () -> what.accept(node)));
    }

    /** On the lane: tells the world something. */
    void tell(final Runnable what) {
        run.steps.byNode(lane, SteppedTime.WORLD, 1, what);
    }

    private void later(final long mine, final long waitMs, final int kind, final Runnable event) {
        run.steps.byNode(lane, lane, waitMs, () -> run(mine, kind, event));
    }

    private void run(final long mine, final int kind, final Runnable event) {
        if (mine == incarnation && node != null) {
            timed(kind, event);
        }
    }

    private void timed(final int kind, final Runnable event) {
        final Phase phase = run.phase();
        final long fromNs = THREADS.getCurrentThreadCpuTime();
        event.run();
        traffic.spent(phase, kind, THREADS.getCurrentThreadCpuTime() - fromNs);
    }

    private void send(final long mine, final String to, final Message message) {
        final ScaleNode target = run.at(to);
        if (mine != incarnation) {
            return;
        }
        final byte[] frame = MessageCodec.encode(message, (int) settings.integer("noteVersion"));
        final int kind = ScaleTraffic.kind(frame);
        if (kinds[kind] == null) {
            kinds[kind] = message.getClass().getSimpleName();
        }
        digest.update(frame);
        if (target == null) {
            return;
        }
        final Distance distance = ScaleNetwork.distance(this, target);
        traffic.out(run.phase(), distance, kind, frame.length);
        if (run.net.open(this, target)) {
            final long theirs = target.incarnation;
            run.steps.byNode(
                    lane,
                    target.lane,
                    ScaleNetwork.wayMs(distance, chance),
                    () -> target.hear(theirs, distance, kind, frame));
        }
    }

    private void hear(final long mine, final Distance distance, final int kind, final byte[] frame) {
        if (mine != incarnation || node == null) {
            return;
        }
        traffic.in(run.phase(), distance, kind, frame.length);
        timed(kind, () -> {
            try {
                node.onMessage(MessageCodec.decode(frame));
            } catch (final IOException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** One beat of asks by formula: as many as are due, each counted as one that an upstream began. */
    private void requests(final long mine) {
        later(mine, TICK_MS, ScaleTraffic.REQUESTS, () -> requests(mine));
        owed += run.shape.flags.rate * TICK_MS / 1000.0 / run.edges();
        final int due = (int) owed;
        owed -= due;
        if (!run.asking() || due == 0) {
            return;
        }
        final int phase = run.phase().ordinal();
        requests[phase] += due;
        if (!node.feedClient().isFresh()) {
            stale[phase] += due;
            return;
        }
        for (int i = 0; i < due; i++) {
            if (!counter.mayStart()) {
                uncounted[phase] += due - i;
                return;
            }
            counter.onStarted(run.shape.asker(chance));
            counted.merge(node.fleetMs() / run.windowMs, 1L, Long::sum);
            acted++;
        }
        actedLateMs = Math.max(
                actedLateMs,
                run.lateMs(node.configurationStore().configuration().version()));
    }

    /** What is around a node: the platform, and upstreams that answer at once and take nothing. */
    private final class Hollow implements UpstreamClient, DiscoveryClient, UsageReportClient {
        private static final long PLATFORM_MS = 10;
        private final long mine;

        Hollow(final long mine) {
            this.mine = mine;
        }

        @Override
        public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
            later(mine, PLATFORM_MS, ScaleTraffic.OUTSIDE, () -> done.accept(Optional.of(run.outside.list())));
        }

        @Override
        public void probe(final String to, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
            probes++;
            later(mine, 2, ScaleTraffic.OUTSIDE, () -> done.accept(run.outside.probe(to)));
        }

        @Override
        public void report(
                final ReportCall call,
                final SendDeadline deadline,
                final ReportPermit permit,
                final ReportCallback callback) {
            later(
                    mine,
                    PLATFORM_MS,
                    ScaleTraffic.OUTSIDE,
                    () -> permit.request(permitted -> {
                        if (permitted) {
                            deliver(call, callback);
                        } else {
                            callback.onResult(ReportResult.NOT_SENT);
                        }
                    }));
        }

        private void deliver(final ReportCall call, final ReportCallback callback) {
            final Map<String, Long> counts = Map.copyOf(call.window().counts());
            tell(() -> run.judge.reported(
                    call.holder(), call.fencingToken(), call.window().window(), counts));
            later(mine, PLATFORM_MS, ScaleTraffic.OUTSIDE, () -> callback.onResult(ReportResult.ACCEPTED));
        }

        @Override
        public AttemptHandle attempt(
                final Attempt attempt,
                final LongSupplier until,
                final Runnable sent,
                final Consumer<AttemptResult> done) {
            later(mine, 1, ScaleTraffic.OUTSIDE, () -> done.accept(new AttemptResult.NotSent("hollow")));
            return () -> {};
        }
    }
}
