package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spokestall.api.ResultCode;
import spokestall.consensus.Acceptor;
import spokestall.proxy.EdgeSelector;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/** An isolated core must not answer operators from outdated state, and must catch up within a bound after the isolation. */
class StaleNodeTest {
    private static final long CUT_MS = 20_000;
    private static final long CONTACT_MS = 5000;
    private static final int SEEDS = 6;
    private static final int TURNS = 8;
    private static final long SLOW_MS = 400;
    /** How long a node that receives no messages may still list edges. */
    private static final long MAX_LISTED_MS = 20_000;
    /** Results that say nothing about the configuration: the caller retries later or at another node. */
    private static final Set<ResultCode> INCONCLUSIVE =
            EnumSet.of(ResultCode.NOT_READY, ResultCode.UNDECIDED, ResultCode.NOT_FRESH, ResultCode.BUSY);

    /** How a core is isolated from the other nodes. */
    private enum Isolation {
        BOTH_WAYS,
        HEARS_NOTHING,
        IS_NOT_HEARD,
        RESTARTED_WHILE_CUT,
        FIRST_SEED_CUT,
        FROZEN,
        SLOWED,
        DISK_STALLED
    }

    private final List<String> failures = new ArrayList<>();

    @Test
    void anIsolatedCoreGivesNoAnswerThatContradictsTheMajority() {
        for (final Isolation isolation : Isolation.values()) {
            IntStream.rangeClosed(1, SEEDS).forEach(seed -> checkIsolatedCore(seed, isolation, InjectedFault.NONE));
        }
        assertThat(failures).isEmpty();
    }

    @Test
    void theCheckDetectsACoreThatAnswersWithoutAFreshnessProof() {
        checkIsolatedCore(1, Isolation.BOTH_WAYS, InjectedFault.FORGED_PROOFS);
        assertThat(failures).anyMatch(w -> w.contains("handed out")).anyMatch(w -> w.contains("STALE_BASE"));
    }

    /** A node lists edges from its directory, which must drop the edges that the node can't reach within the bound. */
    @Test
    void anIsolatedNodeDropsUnreachableEdgesAndIsNotReady() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final SimulatedNode isolated = listsEdgesWhileIsolated(seed, InjectedFault.NONE);
            assertThat(isolated).as("seed %s", seed).isNull();
        }
    }

    @Test
    void theCheckDetectsANodeThatListsEdgesWithoutAFreshnessProof() {
        assertThat(listsEdgesWhileIsolated(2, InjectedFault.FORGED_PROOFS)).isNotNull();
    }

    /** Returns the isolated node if it still lists edges or is ready after the bound, else null. */
    private static SimulatedNode listsEdgesWhileIsolated(final long seed, final InjectedFault injectedFault) {
        final OperatorFleet fleet =
                new OperatorFleet(seed, Deployment.PADMA, injectedFault, Map.of("alsoEdge", "1")).start();
        final Random random = new Random(seed);
        final SimulatedNode isolated =
                fleet.nodes().get(random.nextInt(fleet.nodes().size()));
        fleet.runUntil(
                "the node lists edges",
                CONTACT_MS,
                () -> listedEdges(isolated) > 0 && isolated.node().ready());
        for (final SimulatedNode other : fleet.othersThan(isolated)) {
            fleet.world.net.cut(other.address, isolated.address, true);
            if (seed % 2 == 0) {
                fleet.world.net.cut(isolated.address, other.address, true);
            }
        }
        fleet.run(MAX_LISTED_MS);
        if (isolated.node().ready() || listedEdges(isolated) > 0) {
            return isolated;
        }
        fleet.world.net.heal();
        fleet.runUntil(
                "the node lists edges again",
                CONTACT_MS,
                () -> listedEdges(isolated) > 0 && isolated.node().ready());
        return null;
    }

    private static int listedEdges(final SimulatedNode node) {
        return EdgeSelector.nearest(node.node().directory().edges(), node.region, node.zone)
                .size();
    }

    private void checkIsolatedCore(final long seed, final Isolation isolation, final InjectedFault injectedFault) {
        final OperatorFleet fleet =
                new OperatorFleet(seed, Deployment.values()[(int) (seed % 2)], injectedFault).start();
        final Random random = new Random(seed);
        final List<SimulatedNode> cores = fleet.world.cores();
        final SimulatedNode isolated =
                cores.get(isolation == Isolation.FIRST_SEED_CUT ? 0 : random.nextInt(cores.size()));
        final SimulatedNode other = cores.get((cores.indexOf(isolated) + 1 + random.nextInt(5)) % 6);
        setIsolated(fleet, isolated, isolation, true);
        for (int turn = 0; turn < TURNS; turn++) {
            final String id = isolation + "-" + seed + "-" + turn;
            final ObjectNode added = OperatorFleet.keyParams(fleet.newestVersion(), id, 3, "k" + turn)
                    .put("key", "another-key-" + turn);
            expect(id, fleet.callAndWait(other, "key.add", added), ResultCode.OK);
            if (isolation == Isolation.RESTARTED_WHILE_CUT && turn == 2) {
                isolated.kill();
                fleet.run(500);
                isolated.start();
            }
            if (isolation == Isolation.FIRST_SEED_CUT && turn == 2) {
                restartWhileFirstSeedIsCut(fleet, isolated, other);
            }
            fleet.run(500 + random.nextInt(1000));
            checkAnswersOfIsolatedCore(fleet, isolated, other, id, turn);
        }
        setIsolated(fleet, isolated, isolation, false);
        fleet.runUntil(
                isolation + " " + seed + " has caught up",
                CONTACT_MS,
                () -> isolated.isRunning()
                        && isolated.node().acceptor().state() == Acceptor.State.VOTING
                        && isolated.node().feedClient().isFresh()
                        && OperatorFleet.version(isolated) == fleet.newestVersion());
        expect(
                isolation + " after the isolation",
                fleet.callAndWait(isolated, "policy.get", OperatorFleet.JSON.createObjectNode()),
                ResultCode.OK);
        expect(
                isolation + " patch after the isolation",
                fleet.callAndWait(
                        isolated, "policy.patch", fleet.addRouteParams(fleet.newestVersion(), "back-" + seed, "back")),
                ResultCode.OK);
    }

    /** Restarts nodes while the first of their seeds is cut off from all nodes. They must join through the other seeds. */
    private void restartWhileFirstSeedIsCut(
            final OperatorFleet fleet, final SimulatedNode isolated, final SimulatedNode other) {
        final List<SimulatedNode> again =
                List.of(fleet.world.edges().get(1), fleet.world.edges().get(4), other);
        again.forEach(SimulatedNode::kill);
        fleet.run(300);
        again.forEach(SimulatedNode::start);
        fleet.runUntil(
                "nodes have joined through the other seeds",
                CONTACT_MS,
                () -> again.stream().allMatch(n -> n.node().feedClient().isFresh()));
        if (isolated.node().feedClient().isFresh()) {
            failures.add(isolated.name + " is fresh although it can't reach any node");
        }
    }

    /** Sends calls to which the majority's answer differs from the one that the isolated core's own state would give. */
    private void checkAnswersOfIsolatedCore(
            final OperatorFleet fleet,
            final SimulatedNode isolated,
            final SimulatedNode other,
            final String id,
            final int turn) {
        if (!isolated.isRunning()) {
            return;
        }
        final long newest = fleet.newestVersion();
        final OperatorFleet.Call got = fleet.callAndWait(isolated, "policy.get", OperatorFleet.JSON.createObjectNode());
        if (got.result() == ResultCode.OK && got.reply.fields().path("version").asLong() < newest) {
            failures.add(id + " handed out " + got.reply.fields().path("version"));
        } else if (got.result() != ResultCode.OK && !INCONCLUSIVE.contains(got.result())) {
            failures.add(id + " policy.get " + got.result());
        }
        expectInconclusiveOr(
                ResultCode.OK,
                id + " patch on the newest",
                fleet.callAndWait(isolated, "policy.patch", fleet.addRouteParams(newest, id + "-p", "p" + turn)));
        expectInconclusiveOr(
                ResultCode.OK,
                id + " withdraw of a key that the majority has",
                fleet.callAndWait(
                        isolated,
                        "key.withdraw",
                        OperatorFleet.keyParams(fleet.newestVersion(), id + "-w", 3, "k" + turn)));
        expectInconclusiveOr(
                ResultCode.OK,
                id + " repeat of what the majority confirmed",
                fleet.callAndWait(
                        isolated,
                        "key.add",
                        OperatorFleet.keyParams(1, id, 3, "k" + turn).put("key", "another-key-" + turn)));
        expectInconclusiveOr(
                ResultCode.STALE_BASE,
                id + " patch on its own version",
                fleet.callAndWait(
                        isolated,
                        "policy.patch",
                        fleet.addRouteParams(OperatorFleet.version(isolated) - 1, id + "-s", "s" + turn)));
        final OperatorFleet.Call where = fleet.callAndWait(
                isolated,
                "where",
                OperatorFleet.JSON.createObjectNode().put("client", "c").put("key", "another-key-" + turn));
        if (where.result() == ResultCode.BAD_KEY
                && other.node()
                        .configurationStore()
                        .configuration()
                        .tree()
                        .toString()
                        .contains("\"k" + turn + "\"")) {
            failures.add(id + " where refused a key that the majority knows");
        }
    }

    private void expectInconclusiveOr(final ResultCode right, final String what, final OperatorFleet.Call call) {
        if (call.result() != right && !INCONCLUSIVE.contains(call.result())) {
            failures.add(what + ": " + call.result());
        }
    }

    private void expect(final String what, final OperatorFleet.Call call, final ResultCode right) {
        if (call.result() != right) {
            failures.add(what + ": " + call.result());
        }
    }

    private static void setIsolated(
            final OperatorFleet fleet, final SimulatedNode isolated, final Isolation isolation, final boolean now) {
        for (final SimulatedNode other : fleet.othersThan(isolated)) {
            switch (isolation) {
                case BOTH_WAYS, RESTARTED_WHILE_CUT, FIRST_SEED_CUT ->
                    fleet.world.net.cutBoth(isolated.address, other.address, now);
                case HEARS_NOTHING -> fleet.world.net.cut(other.address, isolated.address, now);
                case IS_NOT_HEARD -> fleet.world.net.cut(isolated.address, other.address, now);
                default -> {}
            }
        }
        if (isolation == Isolation.FROZEN && now) {
            isolated.freeze();
        } else if (isolation == Isolation.FROZEN) {
            isolated.thaw();
        } else if (isolation == Isolation.SLOWED) {
            fleet.world.net.slow(isolated.address, now ? SLOW_MS : 0);
        } else if (isolation == Isolation.DISK_STALLED && now) {
            isolated.disk.stall(CUT_MS);
        }
    }
}
