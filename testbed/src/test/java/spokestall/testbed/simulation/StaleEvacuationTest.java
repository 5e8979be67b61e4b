package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * An order to begin or end an evacuation is delayed at a node, whose caller gives up and orders the opposite elsewhere. The later
 * order is acknowledged and must stay in force.
 */
class StaleEvacuationTest {
    private static final int SEEDS = Integer.getInteger("seeds", 4);
    private static final String ZONE = "d2";
    private static final long SILENCE_MS = 1000;
    private static final long ACKNOWLEDGED_WITHIN_MS = 6000;
    /** How long a node pursues a change at the most, and some time for the change to arrive everywhere. */
    private static final long SETTLED_AFTER_MS = 8000;
    /** The freshness lease on the platform, which lasts longer than some of the freezes. */
    private static final String LEASE_MS = "4000";

    private static OperatorFleet fleet(final int seed) {
        final Map<String, String> settings = new HashMap<>(OperatorFleet.PLATFORM_SETTINGS);
        settings.put("freshMs", LEASE_MS);
        final OperatorFleet fleet =
                new OperatorFleet(seed, Deployment.values()[seed % 2], InjectedFault.NONE, settings).start();
        fleet.awaitFresh();
        return fleet;
    }

    /** Calls the nodes in turn until one acknowledges. */
    private static void order(
            final OperatorFleet fleet,
            final EvacuationCaller operator,
            final List<SimulatedNode> nodes,
            final boolean begin) {
        final long untilMs = fleet.nowMs() + ACKNOWLEDGED_WITHIN_MS;
        for (int i = 0; !operator.call(nodes.get(i % nodes.size()), begin, SILENCE_MS); i++) {
            assertThat(fleet.nowMs()).as("the order is acknowledged").isLessThan(untilMs);
            fleet.run(100);
        }
    }

    private static void assertOrderInForce(final OperatorFleet fleet, final boolean begin, final String situation) {
        assertThat(fleet.nodes())
                .as(situation)
                .allMatch(node -> node.node()
                                .configurationStore()
                                .configuration()
                                .drainedZones()
                                .contains(ZONE)
                        == begin);
    }

    private static SimulatedNode pickNode(final OperatorFleet fleet, final boolean voter, final Random random) {
        return fleet.world.pick(voter ? fleet.world.cores() : fleet.world.edges(), random);
    }

    /** The order waits unread, for less than the freshness lease lasts or for longer. */
    @ParameterizedTest
    @ValueSource(longs = {1500, 3400, 9000})
    void anOrderUnreadAtAFrozenNodeDoesNotUndoALaterOne(final long freezeMs) {
        playFreezes(freezeMs, 0);
    }

    /** The order is in progress when the node freezes. */
    @ParameterizedTest
    @ValueSource(longs = {1500, 3400})
    void anOrderInProgressAtAFrozenNodeDoesNotUndoALaterOne(final long freezeMs) {
        playFreezes(freezeMs, 300);
    }

    private static void playFreezes(final long freezeMs, final int beforeFreezeMaxMs) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final boolean stale = seed % 2 == 0;
            final boolean voter = seed % 4 < 2;
            final Random random = new Random(seed);
            final OperatorFleet fleet = fleet(seed);
            final SimulatedNode frozen = pickNode(fleet, voter, random);
            final List<SimulatedNode> others = fleet.othersThan(frozen);
            final EvacuationCaller operator = new EvacuationCaller(fleet, ZONE);
            if (!stale) {
                order(fleet, operator, others, true);
                fleet.run(500);
            }
            final EvacuationCaller.Order delayed;
            if (beforeFreezeMaxMs == 0) {
                frozen.freeze();
                delayed = operator.send(frozen, stale);
            } else {
                delayed = operator.send(frozen, stale);
                fleet.run(random.nextInt(beforeFreezeMaxMs));
                frozen.freeze();
            }
            final long frozenAtMs = fleet.nowMs();
            fleet.run(Math.min(SILENCE_MS, freezeMs - 400));
            delayed.giveUp();
            order(fleet, operator, others, stale);
            order(fleet, operator, others, !stale);
            fleet.run(Math.max(0, frozenAtMs + freezeMs - fleet.nowMs()));
            frozen.thaw();
            fleet.run(SETTLED_AFTER_MS);
            assertOrderInForce(fleet, !stale, "seed " + seed + ", voter " + voter + ", frozen for " + freezeMs + " ms");
        }
    }

    /** No node freezes: an edge that hears no voter for a moment redirects the order to one, and may still pursue it itself. */
    @Test
    void anOrderThatACutOffNodeRedirectedDoesNotUndoALaterOne() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final DelayedOrder delayed = new DelayedOrder(seed, false, (fleet, node) -> setCut(fleet, node, true));
            delayed.fleet.runUntil("the redirected order is acknowledged", SILENCE_MS, delayed.order::isAcknowledged);
            order(delayed.fleet, delayed.operator, delayed.others, !delayed.begin);
            setCut(delayed.fleet, delayed.node, false);
            delayed.assertOppositeOrderStaysInForce();
        }
    }

    /** No node freezes: the order takes longer at a slow voter than its caller waits. */
    @ParameterizedTest
    @ValueSource(longs = {160, 240})
    void anOrderInProgressAtASlowVoterDoesNotUndoALaterOne(final long slowMs) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final DelayedOrder delayed = new DelayedOrder(seed, true, (fleet, node) -> slow(fleet, node, slowMs));
            delayed.fleet.run(delayed.random.nextInt(1000));
            delayed.order.giveUp();
            order(delayed.fleet, delayed.operator, delayed.others, delayed.begin);
            order(delayed.fleet, delayed.operator, delayed.others, !delayed.begin);
            delayed.assertOppositeOrderStaysInForce();
        }
    }

    /** The later order asks for what still is in force, since the delayed one has not committed yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anAbandonedOrderDoesNotUndoALaterOneThatFoundItsStateInForce(final boolean voter) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final DelayedOrder delayed = new DelayedOrder(seed, voter, (fleet, node) -> slow(fleet, node, 200));
            delayed.fleet.run(delayed.random.nextInt(1500));
            delayed.order.giveUp();
            order(delayed.fleet, delayed.operator, delayed.others, !delayed.begin);
            delayed.assertOppositeOrderStaysInForce();
        }
    }

    /** Delays all messages of a node, and waits until the other nodes count with it. */
    private static void slow(final OperatorFleet fleet, final SimulatedNode node, final long ms) {
        fleet.world.net.slow(node.address, ms);
        fleet.run(1500);
    }

    private static void setCut(final OperatorFleet fleet, final SimulatedNode node, final boolean blocked) {
        fleet.nodes().forEach(other -> fleet.world.net.cutBoth(node.address, other.address, blocked));
    }

    /** An order that was just sent to a node in trouble. */
    private static final class DelayedOrder {
        private final int seed;
        private final OperatorFleet fleet;
        private final SimulatedNode node;
        private final List<SimulatedNode> others;
        private final EvacuationCaller operator;
        private final Random random;
        private final boolean begin;
        private final EvacuationCaller.Order order;

        DelayedOrder(final int seed, final boolean voter, final BiConsumer<OperatorFleet, SimulatedNode> trouble) {
            this.seed = seed;
            random = new Random(seed);
            begin = seed % 2 == 0;
            fleet = fleet(seed);
            node = pickNode(fleet, voter, random);
            others = fleet.othersThan(node);
            operator = new EvacuationCaller(fleet, ZONE);
            if (!begin) {
                order(fleet, operator, others, true);
                fleet.run(500);
            }
            trouble.accept(fleet, node);
            order = operator.send(node, begin);
        }

        void assertOppositeOrderStaysInForce() {
            fleet.run(SETTLED_AFTER_MS);
            assertOrderInForce(fleet, !begin, "seed " + seed + ", delayed at " + node.name);
        }
    }
}
