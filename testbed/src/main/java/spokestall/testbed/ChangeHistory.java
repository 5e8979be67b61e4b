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
 * Simulates a long sequence of large and small configuration changes without pauses, while one core at a time is restarted, loses its power
 * or its disk, has a full disk, or is cut off. At given numbers of changes it measures the size of a core's state and the cores' recovery.
 */
final class ChangeHistory {
    /** A failure that a core recovers from. */
    enum Failure {
        RESTART,
        POWER,
        WIPE,
        FULL_DISK,
        CUT
    }

    /**
     * One recovery of a core.
     *
     * @param failure the failure that the core recovered from
     * @param tookMs the virtual time from when the core was reachable until it voted with the newest configuration
     * @param receivedBytes the bytes that other nodes sent to the core in this time
     * @param startUs the real time to start the node, 0 if it wasn't restarted
     */
    record Recovery(Failure failure, long tookMs, long receivedBytes, long startUs) {}

    /** The measurement after a number of changes: the maximum over all cores of each size, and one recovery from each failure. */
    record Measurement(
            int changes,
            double logFill,
            int registers,
            long registerBytes,
            long configurationStoreBytes,
            long heapBytes,
            List<Recovery> recoveries) {}

    private static final long CALL_TIMEOUT_MS = 1000;
    private static final long RETRY_DELAY_MS = 100;
    private static final long DOWN_MS = 1000;
    private static final long CUT_MS = 20_000;
    private static final long DISK_FULL_MS = 5000;
    private static final long RECOVERY_POLL_MS = 10;
    private static final long MAX_RUN_MS = 4L * 3_600_000;
    private static final int FAILURE_EVERY = 20;
    private static final int SMALL_ROUTES = 20;
    private static final int SEGMENT_BYTES = 2 << 20;
    private final SimulatedWorld world;
    private final Random random;
    private final ObjectNode small;
    private final ObjectNode large;
    private final int largeEvery;
    private final ArrayDeque<Integer> measureAtCounts;
    private final List<Measurement> measurements = new ArrayList<>();
    private final List<Recovery> recoveries = new ArrayList<>();
    private final List<String> lostVersions = new ArrayList<>();
    private final int targetCount;
    private int changesMade;
    private int calls;
    private long acknowledgedVersion;
    private boolean failureInProgress;
    private long longestGapMs;
    private long acknowledgedAtMs;

    /** Creates a history in which every {@code largeEvery} changes replace the configuration by one with {@code largeRoutes} routes. */
    ChangeHistory(final long seed, final List<Integer> measureAtCounts, final int largeEvery, final int largeRoutes) {
        this.world = new SimulatedWorld(
                seed,
                Deployment.PADMA,
                false,
                InjectedFault.NONE,
                Scenario.CALM,
                Map.of("ringSegmentBytes", Integer.toString(SEGMENT_BYTES)));
        this.random = world.sim.random("history");
        this.measureAtCounts = new ArrayDeque<>(measureAtCounts);
        this.targetCount = measureAtCounts.get(measureAtCounts.size() - 1);
        this.small = ConfigurationGrowth.configuration(SMALL_ROUTES);
        this.large = ConfigurationGrowth.configuration(largeRoutes);
        this.largeEvery = largeEvery;
    }

    List<Measurement> measurements() {
        return measurements;
    }

    /** Returns all recoveries of cores. */
    List<Recovery> recoveries() {
        return recoveries;
    }

    /** Returns the acknowledged versions that fewer than a majority of the cores had, checked after each recovery. */
    List<String> lostVersions() {
        return lostVersions;
    }

    /** Returns the longest time between two acknowledgements. */
    long longestGapMs() {
        return longestGapMs;
    }

    /** Runs the history; returns whether all changes were acknowledged and all failures are over. */
    boolean play() {
        for (final SimulatedNode node : world.nodes.values()) {
            world.sim.after(random.nextInt(1500), node::start);
        }
        world.sim.after(8000, () -> {
            acknowledgedAtMs = world.sim.nowMs();
            change();
        });
        while (!isFinished() && world.sim.nowMs() < MAX_RUN_MS) {
            world.sim.run(world.sim.nowMs() + 1000);
        }
        return isFinished();
    }

    private boolean isFinished() {
        return changesMade >= targetCount && measureAtCounts.isEmpty() && !failureInProgress;
    }

    /** Submits the next change at a random running core, with retries until it is acknowledged. */
    private void change() {
        if (isFinished()) {
            return;
        }
        if (!measureAtCounts.isEmpty() && changesMade >= measureAtCounts.peek() && !failureInProgress) {
            measure(measureAtCounts.poll());
        } else if (changesMade % FAILURE_EVERY == FAILURE_EVERY - 1 && !failureInProgress) {
            injectFailure(Failure.values()[random.nextInt(Failure.values().length)], () -> {});
        }
        final SimulatedNode core = world.pick(world.cores(), random);
        if (!core.isRunning()) {
            world.sim.after(RETRY_DELAY_MS, this::change);
            return;
        }
        final int call = ++calls;
        final boolean replace = changesMade % largeEvery == 0 || changesMade % largeEvery == largeEvery / 2;
        final ObjectNode params = ConfigurationStore.JSON.createObjectNode();
        params.put("base", core.node().configurationStore().configuration().version())
                .put("changeId", "change-" + changesMade);
        if (replace) {
            params.set("policy", changesMade % largeEvery == 0 ? large : small);
        } else {
            params.set("patch", patch());
        }
        world.sim.after(CALL_TIMEOUT_MS, () -> retryIfUnanswered(call));
        world.call(core, replace ? "policy.put" : "policy.patch", params, reply -> onReply(call, reply));
    }

    private ObjectNode patch() {
        return Deployment.routePatch(
                "new" + changesMade % SMALL_ROUTES, "/new/" + changesMade, world.deployment.largeService);
    }

    private void retryIfUnanswered(final int call) {
        if (call == calls) {
            calls++;
            change();
        }
    }

    private void onReply(final int call, final Reply reply) {
        if (call != calls) {
            return;
        }
        calls++;
        if (reply.result() != ResultCode.OK) {
            world.sim.after(RETRY_DELAY_MS, this::change);
            return;
        }
        changesMade++;
        acknowledgedVersion =
                Math.max(acknowledgedVersion, reply.fields().path("version").asLong());
        longestGapMs = Math.max(longestGapMs, world.sim.nowMs() - acknowledgedAtMs);
        acknowledgedAtMs = world.sim.nowMs();
        change();
    }

    private void measure(final int changes) {
        final List<Recovery> recoveriesHere = new ArrayList<>();
        double fill = 0;
        int registers = 0;
        long registerBytes = 0;
        long configurationStoreBytes = 0;
        for (final SimulatedNode core : world.cores()) {
            if (core.isRunning()) {
                fill = Math.max(fill, core.node().logFill());
                registers =
                        Math.max(registers, core.node().acceptor().registers().size());
                registerBytes =
                        Math.max(registerBytes, registerBytes(core.node().acceptor()));
                configurationStoreBytes = Math.max(
                        configurationStoreBytes,
                        core.node().configurationStore().retainedAfter(0).values().stream()
                                .mapToLong(c -> c.json().length)
                                .sum());
            }
        }
        measurements.add(new Measurement(
                changes, fill, registers, registerBytes, configurationStoreBytes, heapBytes(), recoveriesHere));
        runFailures(recoveriesHere, new ArrayDeque<>(List.of(Failure.values())));
    }

    /** Returns the used heap per node, without the simulated disks. */
    private long heapBytes() {
        System.gc();
        final long used =
                Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        final long disks = world.cores().stream()
                .mapToLong(c -> (long) c.disk.count() * c.disk.sizeBytes())
                .sum();
        return (used - disks) / world.nodes.size();
    }

    private void runFailures(final List<Recovery> collected, final ArrayDeque<Failure> remaining) {
        if (!remaining.isEmpty()) {
            injectFailure(remaining.poll(), () -> {
                collected.add(recoveries.get(recoveries.size() - 1));
                runFailures(collected, remaining);
            });
        }
    }

    private static long registerBytes(final Acceptor acceptor) {
        return acceptor.registers().values().stream()
                .map(Register::value)
                .mapToLong(v -> v == null ? 0 : v.length)
                .sum();
    }

    private void injectFailure(final Failure failure, final Runnable then) {
        failureInProgress = true;
        final SimulatedNode core = world.pick(world.cores(), random);
        if (failure == Failure.CUT) {
            final List<SimulatedNode> others = new ArrayList<>(world.nodes.values());
            others.remove(core);
            world.setPartitioned(List.of(core), others, true);
            world.sim.after(CUT_MS, () -> {
                world.setPartitioned(List.of(core), others, false);
                awaitRecovery(core, failure, 0, then);
            });
            return;
        }
        if (failure == Failure.FULL_DISK) {
            core.disk.setFull(true);
            world.sim.after(DISK_FULL_MS, () -> {
                core.disk.setFull(false);
                awaitRecovery(core, failure, 0, then);
            });
            return;
        }
        if (failure == Failure.RESTART) {
            core.kill();
        } else {
            core.losePower();
        }
        if (failure == Failure.WIPE) {
            core.disk.wipe();
        }
        world.sim.after(DOWN_MS, () -> {
            final long fromNs = System.nanoTime();
            core.start();
            awaitRecovery(core, failure, (System.nanoTime() - fromNs) / 1000, then);
        });
    }

    /** Waits until the core votes and has a new proof that its configuration is current, then records the recovery. */
    private void awaitRecovery(
            final SimulatedNode core, final Failure failure, final long startUs, final Runnable then) {
        final long fromMs = world.sim.nowMs();
        final long fromBytes = world.traffic.sentTo(core.name);
        final long provedBefore = core.node().feedClient().lease().expiresMs();
        whenRecovered(core, provedBefore, () -> {
            recoveries.add(new Recovery(
                    failure, world.sim.nowMs() - fromMs, world.traffic.sentTo(core.name) - fromBytes, startUs));
            checkAcknowledgedVersion();
            failureInProgress = false;
            then.run();
        });
    }

    private void whenRecovered(final SimulatedNode core, final long provedBefore, final Runnable then) {
        final boolean voting = core.isRunning() && core.node().acceptor().state() == Acceptor.State.VOTING;
        if (voting
                && core.node().feedClient().isFresh()
                && core.node().feedClient().lease().expiresMs() > provedBefore
                && core.node().configurationStore().configuration().version() + 1 >= acknowledgedVersion) {
            then.run();
        } else {
            world.sim.after(RECOVERY_POLL_MS, () -> whenRecovered(core, provedBefore, then));
        }
    }

    /** Checks that voters with the acknowledged version, as a register or below their version floor, form a majority of the cores. */
    private void checkAcknowledgedVersion() {
        long coresWithVersion = 0;
        for (final SimulatedNode core : world.cores()) {
            final Acceptor acceptor = core.isRunning() ? core.node().acceptor() : null;
            if (acceptor != null && acceptor.state() == Acceptor.State.VOTING) {
                final Register r = acceptor.registers().get(ConfigurationKeys.keyOf(acknowledgedVersion));
                coresWithVersion +=
                        acceptor.versionFloor() >= acknowledgedVersion || r != null && r.value() != null ? 1 : 0;
            }
        }
        if (coresWithVersion < world.cores().size() / 2 + 1) {
            lostVersions.add("version " + acknowledgedVersion + " is with " + coresWithVersion);
        }
    }

    static int run(final long seed, final List<Integer> measureAtCounts) {
        final ChangeHistory history = new ChangeHistory(seed, measureAtCounts, 10, 9000);
        final long fromNs = System.nanoTime();
        final boolean complete = history.play();
        System.out.println(
                "| changes | ring fill | registers | their KiB | changes kept KiB | heap KiB | back | ms | KiB sent to it"
                        + " | made in us |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final Measurement row : history.measurements) {
            for (final Recovery recovery : row.recoveries) {
                System.out.printf(
                        "| %d | %.3f | %d | %d | %d | %d | %s | %d | %d | %d |%n",
                        row.changes,
                        row.logFill,
                        row.registers,
                        row.registerBytes >> 10,
                        row.configurationStoreBytes >> 10,
                        row.heapBytes >> 10,
                        recovery.failure,
                        recovery.tookMs,
                        recovery.receivedBytes >> 10,
                        recovery.startUs);
            }
        }
        for (final Failure failure : Failure.values()) {
            final List<Long> took = history.recoveries.stream()
                    .filter(b -> b.failure == failure)
                    .map(Recovery::tookMs)
                    .sorted()
                    .toList();
            if (!took.isEmpty()) {
                System.out.printf(
                        "%s times=%d p50Ms=%d mostMs=%d%n",
                        failure, took.size(), took.get(took.size() / 2), took.get(took.size() - 1));
            }
        }
        System.out.printf(
                "whole=%s changes=%d lost=%s longestMs=%d virtualS=%d wallS=%d%n",
                complete,
                history.changesMade,
                history.lostVersions,
                history.longestGapMs,
                history.world.sim.nowMs() / 1000,
                (System.nanoTime() - fromNs) / 1_000_000_000L);
        return complete && history.lostVersions.isEmpty() ? 0 : 1;
    }
}
