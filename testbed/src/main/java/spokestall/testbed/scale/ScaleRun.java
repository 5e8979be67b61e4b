package spokestall.testbed.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.zip.CRC32;
import org.HdrHistogram.Histogram;
import spokestall.consensus.Acceptor;
import spokestall.discovery.HealthObservation;
import spokestall.testbed.simulation.SimulatedWorld;
import spokestall.testbed.verdict.AcknowledgedChange;
import spokestall.testbed.verdict.Rule;

/** One run at scale: a fleet comes up, has a calm while, then an ordinary day pressed together. */
final class ScaleRun implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long BOOT_MOST_MS = 60_000;
    private static final long SETTLE_MS = 3000;
    private static final long LOOK_MS = 100;
    /** Changes while nothing fails, before anything is measured: at 830 a day they are no part of a calm second. */
    private static final int QUIET_CHANGES = 2;

    private static final int CHANGES = 6;
    private static final double CALM_SHARE = 0.4;
    private static final int SAMPLED = 8;
    final ScaleShape shape;
    final SteppedTime steps;
    final ScaleNetwork net;
    final ScaleEnvironment outside;
    final ScaleJudge judge;
    final int segmentBytes;
    final long windowMs = SimulatedWorld.WINDOW_MS;
    final long keyBoundMs = Rule.KEY.strictBoundMs;
    final List<ScaleNode> nodes = new ArrayList<>();
    final Map<Phase, Long> spanMs = new EnumMap<>(Phase.class);
    final Map<Phase, Map<Boolean, Histogram>> proofs = new EnumMap<>(Phase.class);
    final Map<Phase, Histogram> words = new EnumMap<>(Phase.class);
    final Map<Phase, Long> wordless = new EnumMap<>(Phase.class);
    final List<AcknowledgedChange> changes = new ArrayList<>();
    final Map<AcknowledgedChange, long[]> inForce = new HashMap<>();
    final long configurationBytes;
    private final Map<String, ScaleNode> byAddress = new HashMap<>();
    private final Random chance;
    private final ObjectNode configuration;
    private Phase phase = Phase.BOOT;
    private long phaseFromMs;
    private long readyMs = -1;
    private boolean asking;
    private boolean whole;
    private long beganNs;
    private long toldNs;

    ScaleRun(final ScaleFlags flags) {
        this.shape = new ScaleShape(flags);
        this.steps = new SteppedTime(flags.nodes, flags.threads);
        this.net = new ScaleNetwork(flags.regions);
        this.outside = new ScaleEnvironment(steps, shape.upstreams());
        this.judge = new ScaleJudge(this);
        this.chance = random("day");
        this.configuration = shape.configuration();
        this.configurationBytes = configuration.toString().length();
        this.segmentBytes = (int) Math.max(1 << 20, Math.min(8 << 20, 3 * configurationBytes));
        for (final Phase p : Phase.values()) {
            proofs.put(p, Map.of(true, new Histogram(3), false, new Histogram(3)));
            words.put(p, new Histogram(3));
        }
        final Map<String, String> shared = new TreeMap<>(flags.settings());
        shared.put("districts", shape.zones());
        shared.put(
                "seeds",
                ScaleShape.address(0) + "," + ScaleShape.address(flags.cores / 2) + ","
                        + ScaleShape.address(flags.cores - 1));
        shared.put("platform", "10.9.0.1:80");
        shared.put("cores", Integer.toString(flags.cores));
        shared.put("edges", Integer.toString(edges()));
        for (int i = 0; i < flags.nodes; i++) {
            final ScaleNode node = new ScaleNode(this, i, i < flags.cores, shared);
            nodes.add(node);
            byAddress.put(node.address, node);
        }
    }

    int edges() {
        return shape.flags.nodes - shape.flags.cores;
    }

    /** A source of chance of its own for each part. */
    Random random(final String part) {
        return new Random(shape.flags.seed * 0x9e3779b97f4a7c15L ^ (long) part.hashCode() << 17);
    }

    ScaleNode at(final String address) {
        return byAddress.get(address);
    }

    Phase phase() {
        return phase;
    }

    boolean asking() {
        return asking;
    }

    /** Whether it came to its end before the real time was over. */
    boolean whole() {
        return whole;
    }

    /** When all were up and fresh, or -1. */
    long readyMs() {
        return readyMs;
    }

    /** How long ago the first version after this one was told as accepted; 0 if none was. */
    long lateMs(final long version) {
        for (int i = changes.size() - 1; i >= 0; i--) {
            if (changes.get(i).version() <= version) {
                return i == changes.size() - 1
                        ? 0
                        : steps.nowMs() - changes.get(i + 1).acknowledgedMs();
            }
        }
        return 0;
    }

    void play() {
        beganNs = System.nanoTime();
        steps.end(beganNs + shape.flags.wall * 1_000_000_000L);
        nodes.forEach(n -> steps.byWorld(SteppedTime.WORLD, 1 + chance.nextInt(1500), n::start));
        steps.byWorld(SteppedTime.WORLD, 2000, this::first);
        steps.byWorld(SteppedTime.WORLD, LOOK_MS, this::look);
        while (!whole && (System.nanoTime() - beganNs) / 1_000_000_000L < shape.flags.wall) {
            steps.step();
            progress();
        }
        spanMs.merge(phase, steps.nowMs() - phaseFromMs, Long::sum);
        judge.end(nodes);
    }

    private void progress() {
        final long nowNs = System.nanoTime();
        if (steps.nowMs() % LOOK_MS == 0 && nowNs - toldNs > 3_000_000_000L) {
            toldNs = nowNs;
            final List<ScaleNode> up = nodes.stream().filter(ScaleNode::up).toList();
            System.out.printf(
                    "wall=%ds virtual=%.1fs phase=%s up=%d fresh=%d oldest=%d changes=%d reports=%d%n",
                    (nowNs - beganNs) / 1_000_000_000L,
                    steps.nowMs() / 1000.0,
                    phase,
                    up.size(),
                    up.stream().filter(n -> n.node().feedClient().isFresh()).count(),
                    up.stream()
                                    .mapToLong(n -> n.node()
                                            .configurationStore()
                                            .configuration()
                                            .version())
                                    .min()
                                    .orElse(0)
                            & 0xffff,
                    changes.size(),
                    judge.reports());
        }
    }

    private void first() {
        final ObjectNode params = JSON.createObjectNode();
        params.set("policy", configuration);
        change("policy.put", "first", params, steps.nowMs());
    }

    /** Tries on one core after another until a change is told as accepted. */
    private void change(final String method, final String id, final ObjectNode params, final long sentMs) {
        final List<ScaleNode> able = nodes.stream()
                .filter(n -> n.core
                        && n.up()
                        && !net.cutOff(n)
                        && n.node().acceptor().state() == Acceptor.State.VOTING)
                .toList();
        if (able.isEmpty()) {
            steps.byWorld(SteppedTime.WORLD, 500, () -> change(method, id, params, sentMs));
            return;
        }
        final ScaleNode to = able.get(chance.nextInt(able.size()));
        final boolean[] answered = {false};
        to.call(node -> node.call(
                method,
                params.deepCopy()
                        .put("changeId", id)
                        .put("base", node.configurationStore().configuration().version()),
                reply -> to.tell(() -> {
                    if (answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    if (reply.result().number() == 1000) {
                        changes.add(new AcknowledgedChange(
                                reply.fields().path("version").asLong(),
                                sentMs,
                                steps.nowMs(),
                                asking && phase == Phase.BOOT ? Phase.CALM : phase));
                    } else {
                        steps.byWorld(SteppedTime.WORLD, 500, () -> change(method, id, params, sentMs));
                    }
                })));
        steps.byWorld(SteppedTime.WORLD, 5000, () -> {
            if (!answered[0]) {
                answered[0] = true;
                change(method, id, params, sentMs);
            }
        });
    }

    /** What the world sees every so often. */
    private void look() {
        steps.byWorld(SteppedTime.WORLD, LOOK_MS, this::look);
        final long nowMs = steps.nowMs();
        for (final ScaleNode n : nodes) {
            if (n.up()) {
                judge.versions(n);
                proofs.get(phase)
                        .get(n.core)
                        .recordValue(Math.min(
                                3_600_000,
                                Math.max(0, n.node().feedClient().lease().ageMs())));
            }
        }
        for (final AcknowledgedChange a : changes) {
            final long[] at = inForce.computeIfAbsent(a, x -> new long[] {-1, -1});
            if (at[1] < 0) {
                final List<ScaleNode> of = nodes.stream()
                        .filter(n -> n.up() && n.upSinceMs() < a.sentMs() && !net.cutOff(n))
                        .toList();
                final long have = of.stream()
                        .filter(n ->
                                n.node().configurationStore().configuration().version() >= a.version())
                        .count();
                at[0] = at[0] < 0 && have >= 0.99 * of.size() ? nowMs : at[0];
                at[1] = have == of.size() ? nowMs : at[1];
            }
        }
        if (nowMs % 1000 == 0 && phase != Phase.BOOT) {
            words();
        }
        if (phase == Phase.BOOT && readyMs < 0 && (ready() || nowMs > BOOT_MOST_MS)) {
            readyMs = nowMs > BOOT_MOST_MS ? -1 : nowMs;
            calm();
        }
    }

    private boolean ready() {
        return !changes.isEmpty()
                && nodes.stream()
                        .allMatch(n -> n.up()
                                && n.node().feedClient().isFresh()
                                && n.node().configurationStore().configuration().version()
                                        >= changes.get(0).version()
                                && (n.core
                                        ? n.node().acceptor().state() == Acceptor.State.VOTING
                                        : n.node()
                                                        .endpointRegistry()
                                                        .endpoints()
                                                        .size()
                                                == shape.flags.upstreams));
    }

    /** How old the newest word on some upstreams is at each edge. */
    private void words() {
        for (final ScaleNode n : nodes) {
            if (!n.core && n.up()) {
                for (int i = 0; i < SAMPLED; i++) {
                    final String instance = outside.list()
                            .get(chance.nextInt(outside.list().size()))
                            .instance();
                    final Optional<HealthObservation> health = n.node()
                            .endpointRegistry()
                            .health(instance, n.node().fleetMs());
                    if (health.isEmpty()) {
                        wordless.merge(phase, 1L, Long::sum);
                    } else {
                        words.get(phase)
                                .recordValue(Math.max(
                                        0, n.node().fleetMs() - health.get().timestampMs()));
                    }
                }
            }
        }
    }

    private void enter(final Phase to) {
        spanMs.merge(phase, steps.nowMs() - phaseFromMs, Long::sum);
        phase = to;
        phaseFromMs = steps.nowMs();
    }

    private void calm() {
        asking = true;
        for (int i = 0; i < QUIET_CHANGES; i++) {
            patch(i, 500 + 1000L * i);
        }
        steps.byWorld(SteppedTime.WORLD, SETTLE_MS + shape.flags.warm * 1000L, () -> {
            enter(Phase.CALM);
            final long allMs = shape.flags.seconds * 1000L;
            final long calmMs = (long) (CALM_SHARE * allMs);
            for (int i = 0; i < CHANGES; i++) {
                patch(QUIET_CHANGES + i, calmMs + 100 + (allMs - calmMs) * i / CHANGES);
            }
            steps.byWorld(SteppedTime.WORLD, calmMs, () -> {
                enter(Phase.DAY);
                new ScaleDay(this, chance).play(allMs - calmMs);
            });
            steps.byWorld(SteppedTime.WORLD, allMs, () -> whole = true);
        });
    }

    private void patch(final int n, final long waitMs) {
        steps.byWorld(SteppedTime.WORLD, waitMs, () -> {
            final ObjectNode params = JSON.createObjectNode();
            params.set("patch", shape.patch(n));
            change("policy.patch", "change-" + n, params, steps.nowMs());
        });
    }

    /** What every node sent, in its order, and what it has. */
    long digest() {
        final CRC32 crc = new CRC32();
        for (final ScaleNode n : nodes) {
            crc.update((n.name + " " + n.digest.getValue() + " "
                            + (n.up()
                                    ? n.node()
                                            .configurationStore()
                                            .configuration()
                                            .version()
                                    : -1))
                    .getBytes(StandardCharsets.UTF_8));
        }
        return crc.getValue();
    }

    String kinds() {
        return nodes.stream()
                .filter(ScaleNode::up)
                .map(n -> n.core ? "core" : "edge")
                .collect(Collectors.groupingBy(k -> k, TreeMap::new, Collectors.counting()))
                .toString();
    }

    long wallS() {
        return (System.nanoTime() - beganNs) / 1_000_000_000L;
    }

    @Override
    public void close() {
        steps.close();
    }
}
