package spokestall.testbed;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.Acceptor;
import spokestall.consensus.Register;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.simulation.Scenario;
import spokestall.testbed.simulation.SimulatedNode;
import spokestall.testbed.simulation.SimulatedWorld;

/**
 * A long history of changes, large and small mixed, one after the other without a pause, while cores are restarted, lose
 * their power or their disk and are cut off, one at a time. At some counts of changes it measures what a core has grown to
 * and how a core comes back.
 */
final class ChangeHistory {
    /** What a core comes back from. */
    enum Return {
        RESTART,
        POWER,
        WIPE,
        FULL_DISK,
        CUT
    }

    /** How one core came back: from when it was reachable until it voted with the newest configuration, and what it was sent. */
    record Back(Return from, long tookMs, long bytes, long startUs) {}

    /** What there was at so many changes: the most of any core, and how cores came back. */
    record Row(
            int changes,
            double logFill,
            int registers,
            long registerBytes,
            long configurationStoreBytes,
            long heapBytes,
            List<Back> backs) {}

    private static final long TRY_MS = 1000;
    private static final long PAUSE_MS = 100;
    private static final long DOWN_MS = 1000;
    private static final long CUT_MS = 20_000;
    private static final long FULL_MS = 5000;
    private static final long STEP_MS = 10;
    private static final long MOST_MS = 4L * 3_600_000;
    private static final int ERROR_EVERY = 20;
    private static final int SMALL_ROUTES = 20;
    private static final int SEGMENT_BYTES = 2 << 20;
    private final SimulatedWorld world;
    private final Random random;
    private final ObjectNode small;
    private final ObjectNode large;
    private final int largeEvery;
    private final ArrayDeque<Integer> marks;
    private final List<Row> rows = new ArrayList<>();
    private final List<Back> backs = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private final int last;
    private int made;
    private int calls;
    private long acknowledged;
    private boolean troubled;
    private long longestMs;
    private long acknowledgedMs;

    /** Every so many changes a configuration with so many routes is put. */
    ChangeHistory(final long seed, final List<Integer> marks, final int largeEvery, final int largeRoutes) {
        this.world = new SimulatedWorld(
                seed,
                Deployment.PADMA,
                false,
                InjectedFault.NONE,
                Scenario.CALM,
                Map.of("ringSegmentBytes", Integer.toString(SEGMENT_BYTES)));
        this.random = world.sim.random("history");
        this.marks = new ArrayDeque<>(marks);
        this.last = marks.get(marks.size() - 1);
        this.small = ConfigurationGrowth.configuration(SMALL_ROUTES);
        this.large = ConfigurationGrowth.configuration(largeRoutes);
        this.largeEvery = largeEvery;
    }

    List<Row> rows() {
        return rows;
    }

    /** Every time that a core came back. */
    List<Back> backs() {
        return backs;
    }

    /** Acknowledged versions that too few cores had, seen after each return. */
    List<String> lost() {
        return lost;
    }

    /** The longest time between two acknowledgements. */
    long longestMs() {
        return longestMs;
    }

    /** Plays it; whether all changes were made. */
    boolean play() {
        for (final SimulatedNode node : world.nodes.values()) {
            world.sim.after(random.nextInt(1500), node::start);
        }
        world.sim.after(8000, () -> {
            acknowledgedMs = world.sim.nowMs();
            change();
        });
        while (!over() && world.sim.nowMs() < MOST_MS) {
            world.sim.run(world.sim.nowMs() + 1000);
        }
        return over();
    }

    private boolean over() {
        return made >= last && marks.isEmpty() && !troubled;
    }

    /** The next change, at any core that runs, again and again until it is acknowledged. */
    private void change() {
        if (over()) {
            return;
        }
        if (!marks.isEmpty() && made >= marks.peek() && !troubled) {
            measure(marks.poll());
        } else if (made % ERROR_EVERY == ERROR_EVERY - 1 && !troubled) {
            error(Return.values()[random.nextInt(Return.values().length)], () -> {});
        }
        final SimulatedNode core = world.pick(world.cores(), random);
        if (!core.isRunning()) {
            world.sim.after(PAUSE_MS, this::change);
            return;
        }
        final int call = ++calls;
        final boolean whole = made % largeEvery == 0 || made % largeEvery == largeEvery / 2;
        final ObjectNode params = ConfigurationStore.JSON.createObjectNode();
        params.put("base", core.node().configurationStore().configuration().version())
                .put("changeId", "change-" + made);
        if (whole) {
            params.set("policy", made % largeEvery == 0 ? large : small);
        } else {
            params.set("patch", patch());
        }
        world.sim.after(TRY_MS, () -> again(call));
        world.call(core, whole ? "policy.put" : "policy.patch", params, reply -> told(call, reply));
    }

    private ObjectNode patch() {
        return Deployment.routePatch("new" + made % SMALL_ROUTES, "/new/" + made, world.deployment.big);
    }

    private void again(final int call) {
        if (call == calls) {
            calls++;
            change();
        }
    }

    private void told(final int call, final Reply reply) {
        if (call != calls) {
            return;
        }
        calls++;
        if (reply.result() != ResultCode.OK) {
            world.sim.after(PAUSE_MS, this::change);
            return;
        }
        made++;
        acknowledged = Math.max(acknowledged, reply.fields().path("version").asLong());
        longestMs = Math.max(longestMs, world.sim.nowMs() - acknowledgedMs);
        acknowledgedMs = world.sim.nowMs();
        change();
    }

    private void measure(final int changes) {
        final List<Back> mine = new ArrayList<>();
        double fill = 0;
        int registers = 0;
        long registerBytes = 0;
        long configurationStoreBytes = 0;
        for (final SimulatedNode core : world.cores()) {
            if (core.isRunning()) {
                fill = Math.max(fill, core.node().logFill());
                registers =
                        Math.max(registers, core.node().acceptor().registers().size());
                registerBytes = Math.max(registerBytes, bytes(core.node().acceptor()));
                configurationStoreBytes = Math.max(
                        configurationStoreBytes,
                        core.node().configurationStore().retainedAfter(0).values().stream()
                                .mapToLong(c -> c.json().length)
                                .sum());
            }
        }
        rows.add(new Row(changes, fill, registers, registerBytes, configurationStoreBytes, heapBytes(), mine));
        next(mine, new ArrayDeque<>(List.of(Return.values())));
    }

    /** A node's part of the memory in use, its disk left out. */
    private long heapBytes() {
        System.gc();
        final long used =
                Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        final long disks = world.cores().stream()
                .mapToLong(c -> (long) c.disk.count() * c.disk.sizeBytes())
                .sum();
        return (used - disks) / world.nodes.size();
    }

    private void next(final List<Back> mine, final ArrayDeque<Return> left) {
        if (!left.isEmpty()) {
            error(left.poll(), () -> {
                mine.add(backs.get(backs.size() - 1));
                next(mine, left);
            });
        }
    }

    private static long bytes(final Acceptor acceptor) {
        return acceptor.registers().values().stream()
                .map(Register::value)
                .mapToLong(v -> v == null ? 0 : v.length)
                .sum();
    }

    private void error(final Return from, final Runnable then) {
        troubled = true;
        final SimulatedNode core = world.pick(world.cores(), random);
        if (from == Return.CUT) {
            final List<SimulatedNode> rest = new ArrayList<>(world.nodes.values());
            rest.remove(core);
            world.setPartitioned(List.of(core), rest, true);
            world.sim.after(CUT_MS, () -> {
                world.setPartitioned(List.of(core), rest, false);
                back(core, from, 0, then);
            });
            return;
        }
        if (from == Return.FULL_DISK) {
            core.disk.setFull(true);
            world.sim.after(FULL_MS, () -> {
                core.disk.setFull(false);
                back(core, from, 0, then);
            });
            return;
        }
        if (from == Return.RESTART) {
            core.kill();
        } else {
            core.losePower();
        }
        if (from == Return.WIPE) {
            core.disk.wipe();
        }
        world.sim.after(DOWN_MS, () -> {
            final long fromNs = System.nanoTime();
            core.start();
            back(core, from, (System.nanoTime() - fromNs) / 1000, then);
        });
    }

    /** Waits until the core votes and has a proof that what it has is newest. */
    private void back(final SimulatedNode core, final Return from, final long startUs, final Runnable then) {
        final long fromMs = world.sim.nowMs();
        final long fromBytes = world.traffic.sentTo(core.name);
        final long provedBefore = core.node().feedClient().lease().expiresMs();
        whenBack(core, provedBefore, () -> {
            backs.add(new Back(from, world.sim.nowMs() - fromMs, world.traffic.sentTo(core.name) - fromBytes, startUs));
            look();
            troubled = false;
            then.run();
        });
    }

    private void whenBack(final SimulatedNode core, final long provedBefore, final Runnable then) {
        final boolean voting = core.isRunning() && core.node().acceptor().state() == Acceptor.State.VOTING;
        if (voting
                && core.node().feedClient().isFresh()
                && core.node().feedClient().lease().expiresMs() > provedBefore
                && core.node().configurationStore().configuration().version() + 1 >= acknowledged) {
            then.run();
        } else {
            world.sim.after(STEP_MS, () -> whenBack(core, provedBefore, then));
        }
    }

    /** What was acknowledged is with a majority of the voters, as a register or below the floor of a kept snapshot. */
    private void look() {
        long having = 0;
        for (final SimulatedNode core : world.cores()) {
            final Acceptor acceptor = core.isRunning() ? core.node().acceptor() : null;
            if (acceptor != null && acceptor.state() == Acceptor.State.VOTING) {
                final Register r = acceptor.registers().get(ConfigurationKeys.keyOf(acknowledged));
                having += acceptor.versionFloor() >= acknowledged || r != null && r.value() != null ? 1 : 0;
            }
        }
        if (having < world.cores().size() / 2 + 1) {
            lost.add("version " + acknowledged + " is with " + having);
        }
    }

    static int run(final long seed, final List<Integer> marks) {
        final ChangeHistory history = new ChangeHistory(seed, marks, 10, 9000);
        final long fromNs = System.nanoTime();
        final boolean whole = history.play();
        System.out.println(
                "| changes | ring fill | registers | their KiB | changes kept KiB | heap KiB | back | ms | KiB sent to it"
                        + " | made in us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final Row row : history.rows) {
            for (final Back back : row.backs) {
                System.out.printf(
                        "| %d | %.3f | %d | %d | %d | %d | %s | %d | %d | %d |%n",
                        row.changes,
                        row.logFill,
                        row.registers,
                        row.registerBytes >> 10,
                        row.configurationStoreBytes >> 10,
                        row.heapBytes >> 10,
                        back.from,
                        back.tookMs,
                        back.bytes >> 10,
                        back.startUs);
            }
        }
        for (final Return from : Return.values()) {
            final List<Long> took = history.backs.stream()
                    .filter(b -> b.from == from)
                    .map(Back::tookMs)
                    .sorted()
                    .toList();
            if (!took.isEmpty()) {
                System.out.printf(
                        "%s times=%d p50Ms=%d mostMs=%d%n",
                        from, took.size(), took.get(took.size() / 2), took.get(took.size() - 1));
            }
        }
        System.out.printf(
                "whole=%s changes=%d lost=%s longestMs=%d virtualS=%d wallS=%d%n",
                whole,
                history.made,
                history.lost,
                history.longestMs,
                history.world.sim.nowMs() / 1000,
                (System.nanoTime() - fromNs) / 1_000_000_000L);
        return whole && history.lost.isEmpty() ? 0 : 1;
    }
}
