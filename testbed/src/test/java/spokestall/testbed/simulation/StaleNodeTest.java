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

/** What a core that the majority has left behind answers its operators, and how soon it is back in touch. */
class StaleNodeTest {
    private static final long CUT_MS = 20_000;
    private static final long CONTACT_MS = 5000;
    private static final int SEEDS = 6;
    private static final int TURNS = 8;
    private static final long SLOW_MS = 400;
    /** How long a node that hears no one may still name edges. */
    private static final long NAMED_MS = 20_000;
    /** Answers that say nothing of the configuration: come back, or ask elsewhere. */
    private static final Set<ResultCode> SAYS_NOTHING =
            EnumSet.of(ResultCode.NOT_READY, ResultCode.UNDECIDED, ResultCode.NOT_FRESH, ResultCode.BUSY);

    /** How a core is set apart from the rest. */
    private enum Apart {
        BOTH_WAYS,
        HEARS_NOTHING,
        IS_NOT_HEARD,
        RESTARTED_WHILE_CUT,
        FIRST_SEED_CUT,
        FROZEN,
        SLOWED,
        DISK_STALLED
    }

    private final List<String> wrong = new ArrayList<>();

    @Test
    void aCoreThatIsLeftBehindSaysNothingThatTheMajorityWouldNotSay() {
        for (final Apart how : Apart.values()) {
            IntStream.rangeClosed(1, SEEDS).forEach(seed -> play(seed, how, InjectedFault.NONE));
        }
        assertThat(wrong).isEmpty();
    }

    @Test
    void aCoreThatAnswersWithoutAProofIsSeen() {
        play(1, Apart.BOTH_WAYS, InjectedFault.FORGED_PROOFS);
        assertThat(wrong).anyMatch(w -> w.contains("handed out")).anyMatch(w -> w.contains("STALE_BASE"));
    }

    /** A directory answer is made of who is known: who can't be reached is let go of within the bound, and named no longer. */
    @Test
    void aCutOffNodeLetsGoOfTheEdgesThatItCannotReachAndIsNotReady() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final SimulatedNode lone = namesNoneWhenCut(seed, InjectedFault.NONE);
            assertThat(lone).as("seed %s", seed).isNull();
        }
    }

    @Test
    void aNodeThatNamesEdgesWithoutAProofIsSeen() {
        assertThat(namesNoneWhenCut(2, InjectedFault.FORGED_PROOFS)).isNotNull();
    }

    /** The cut-off node that still names edges or is ready when it should not, or null. */
    private static SimulatedNode namesNoneWhenCut(final long seed, final InjectedFault injectedFault) {
        final OperatorFleet fleet =
                new OperatorFleet(seed, Deployment.PADMA, injectedFault, Map.of("alsoEdge", "1")).start();
        final Random random = new Random(seed);
        final SimulatedNode lone =
                fleet.nodes().get(random.nextInt(fleet.nodes().size()));
        fleet.runUntil(
                "it names edges",
                CONTACT_MS,
                () -> named(lone) > 0 && lone.node().ready());
        for (final SimulatedNode other : fleet.othersThan(lone)) {
            fleet.world.net.cut(other.address, lone.address, true);
            if (seed % 2 == 0) {
                fleet.world.net.cut(lone.address, other.address, true);
            }
        }
        fleet.run(NAMED_MS);
        if (lone.node().ready() || named(lone) > 0) {
            return lone;
        }
        fleet.world.net.heal();
        fleet.runUntil(
                "it names edges again",
                CONTACT_MS,
                () -> named(lone) > 0 && lone.node().ready());
        return null;
    }

    private static int named(final SimulatedNode node) {
        return EdgeSelector.nearest(node.node().directory().edges(), node.region, node.zone)
                .size();
    }

    private void play(final long seed, final Apart how, final InjectedFault injectedFault) {
        final OperatorFleet fleet =
                new OperatorFleet(seed, Deployment.values()[(int) (seed % 2)], injectedFault).start();
        final Random random = new Random(seed);
        final List<SimulatedNode> cores = fleet.world.cores();
        final SimulatedNode lone = cores.get(how == Apart.FIRST_SEED_CUT ? 0 : random.nextInt(cores.size()));
        final SimulatedNode other = cores.get((cores.indexOf(lone) + 1 + random.nextInt(5)) % 6);
        apart(fleet, lone, how, true);
        for (int turn = 0; turn < TURNS; turn++) {
            final String id = how + "-" + seed + "-" + turn;
            final ObjectNode added = OperatorFleet.keyParams(fleet.newestVersion(), id, 3, "k" + turn)
                    .put("key", "another-key-" + turn);
            expect(id, fleet.callAndWait(other, "key.add", added), ResultCode.OK);
            if (how == Apart.RESTARTED_WHILE_CUT && turn == 2) {
                lone.kill();
                fleet.run(500);
                lone.start();
            }
            if (how == Apart.FIRST_SEED_CUT && turn == 2) {
                restartByTheSeeds(fleet, lone, other);
            }
            fleet.run(500 + random.nextInt(1000));
            askLone(fleet, lone, other, id, turn);
        }
        apart(fleet, lone, how, false);
        fleet.runUntil(
                how + " " + seed + " is back in touch",
                CONTACT_MS,
                () -> lone.running()
                        && lone.node().acceptor().state() == Acceptor.State.VOTING
                        && lone.node().feedClient().isFresh()
                        && OperatorFleet.version(lone) == fleet.newestVersion());
        expect(
                how + " back",
                fleet.callAndWait(lone, "policy.get", OperatorFleet.JSON.createObjectNode()),
                ResultCode.OK);
        expect(
                how + " taken when back",
                fleet.callAndWait(
                        lone, "policy.patch", fleet.addRouteParams(fleet.newestVersion(), "back-" + seed, "back")),
                ResultCode.OK);
    }

    /** Nodes that start now are told of seeds the first of which is cut off from all. */
    private void restartByTheSeeds(final OperatorFleet fleet, final SimulatedNode lone, final SimulatedNode other) {
        final List<SimulatedNode> again =
                List.of(fleet.world.edges().get(1), fleet.world.edges().get(4), other);
        again.forEach(SimulatedNode::kill);
        fleet.run(300);
        again.forEach(SimulatedNode::start);
        fleet.runUntil(
                "nodes are back by the other seeds",
                CONTACT_MS,
                () -> again.stream().allMatch(n -> n.node().feedClient().isFresh()));
        if (lone.node().feedClient().isFresh()) {
            wrong.add(lone.name + " is fresh by nodes that it can't reach");
        }
    }

    /** Calls that the majority would take or answer otherwise than by what the lone core has. */
    private void askLone(
            final OperatorFleet fleet,
            final SimulatedNode lone,
            final SimulatedNode other,
            final String id,
            final int turn) {
        if (!lone.running()) {
            return;
        }
        final long newest = fleet.newestVersion();
        final OperatorFleet.Call got = fleet.callAndWait(lone, "policy.get", OperatorFleet.JSON.createObjectNode());
        if (got.result() == ResultCode.OK && got.reply.fields().path("version").asLong() < newest) {
            wrong.add(id + " handed out " + got.reply.fields().path("version"));
        } else if (got.result() != ResultCode.OK && !SAYS_NOTHING.contains(got.result())) {
            wrong.add(id + " policy.get " + got.result());
        }
        nothingOr(
                ResultCode.OK,
                id + " patch on the newest",
                fleet.callAndWait(lone, "policy.patch", fleet.addRouteParams(newest, id + "-p", "p" + turn)));
        nothingOr(
                ResultCode.OK,
                id + " withdraw of a key that the majority has",
                fleet.callAndWait(
                        lone,
                        "key.withdraw",
                        OperatorFleet.keyParams(fleet.newestVersion(), id + "-w", 3, "k" + turn)));
        nothingOr(
                ResultCode.OK,
                id + " repeat of what the majority confirmed",
                fleet.callAndWait(
                        lone,
                        "key.add",
                        OperatorFleet.keyParams(1, id, 3, "k" + turn).put("key", "another-key-" + turn)));
        nothingOr(
                ResultCode.STALE_BASE,
                id + " patch on its own version",
                fleet.callAndWait(
                        lone,
                        "policy.patch",
                        fleet.addRouteParams(OperatorFleet.version(lone) - 1, id + "-s", "s" + turn)));
        final OperatorFleet.Call where = fleet.callAndWait(
                lone,
                "where",
                OperatorFleet.JSON.createObjectNode().put("client", "c").put("key", "another-key-" + turn));
        if (where.result() == ResultCode.BAD_KEY
                && other.node()
                        .configurationStore()
                        .configuration()
                        .tree()
                        .toString()
                        .contains("\"k" + turn + "\"")) {
            wrong.add(id + " where refused a key that the majority knows");
        }
    }

    private void nothingOr(final ResultCode right, final String what, final OperatorFleet.Call call) {
        if (call.result() != right && !SAYS_NOTHING.contains(call.result())) {
            wrong.add(what + ": " + call.result());
        }
    }

    private void expect(final String what, final OperatorFleet.Call call, final ResultCode right) {
        if (call.result() != right) {
            wrong.add(what + ": " + call.result());
        }
    }

    private static void apart(final OperatorFleet fleet, final SimulatedNode lone, final Apart how, final boolean now) {
        for (final SimulatedNode other : fleet.othersThan(lone)) {
            switch (how) {
                case BOTH_WAYS, RESTARTED_WHILE_CUT, FIRST_SEED_CUT ->
                    fleet.world.net.cutBoth(lone.address, other.address, now);
                case HEARS_NOTHING -> fleet.world.net.cut(other.address, lone.address, now);
                case IS_NOT_HEARD -> fleet.world.net.cut(lone.address, other.address, now);
                default -> {}
            }
        }
        if (how == Apart.FROZEN && now) {
            lone.freeze();
        } else if (how == Apart.FROZEN) {
            lone.thaw();
        } else if (how == Apart.SLOWED) {
            fleet.world.net.slow(lone.address, now ? SLOW_MS : 0);
        } else if (how == Apart.DISK_STALLED && now) {
            lone.disk.stall(CUT_MS);
        }
    }
}
