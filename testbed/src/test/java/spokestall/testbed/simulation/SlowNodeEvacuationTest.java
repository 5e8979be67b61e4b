package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * Evacuations in a fleet in which all edges are slow, so that the steps of a change together take longer than a caller waits for one
 * reply. Calls have no change id; the caller repeats them at random edges.
 */
class SlowNodeEvacuationTest {
    private static final int EDGES = 40;
    private static final int SEEDS = 3;
    private static final int ORDERS = 6;
    private static final long PAUSE_MS = 100;
    private static final long SILENCE_MS = 900;
    /** Limit for an order in a large deployment (5 s), less a margin of 1 s. */
    private static final long WITHIN_MS = 4000;

    private static final long GIVEN_UP_MS = 30_000;
    /** Additional one-way delay to and from a slow node. */
    private static final long SLOW_MS = 200;

    @Test
    void evacuationsAreAcknowledgedInTimeWhenMostNodesAreSlow() {
        assertAcknowledgedInTime(
                fleet -> fleet.world.edges().forEach(edge -> fleet.world.net.slow(edge.address, SLOW_MS)));
    }

    /** A change takes two rounds among the cores, each of four times this delay: up to more than a node lets its caller wait. */
    @ParameterizedTest
    @ValueSource(longs = {60, 90, 120, 150})
    void evacuationsAreAcknowledgedInTimeWhenAllCoresAreSlow(final long slowMs) {
        assertAcknowledgedInTime(
                fleet -> fleet.world.cores().forEach(core -> fleet.world.net.slow(core.address, slowMs)));
    }

    private static void assertAcknowledgedInTime(final Consumer<OperatorFleet> slowDown) {
        long slowestMs = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(
                            seed, Deployment.VERDE, InjectedFault.NONE, OperatorFleet.PLATFORM_SETTINGS)
                    .withEdges(EDGES)
                    .start();
            slowDown.accept(fleet);
            fleet.run(3000);
            final Random random = new Random(seed);
            for (int i = 0; i < ORDERS; i++) {
                slowestMs = Math.max(slowestMs, acknowledgedAfterMs(fleet, random, i % 2 == 0));
                fleet.run(1000);
            }
        }
        System.out.println("slow nodes: the slowest evacuation was acknowledged after " + slowestMs + " ms");
        assertThat(slowestMs).isLessThan(WITHIN_MS);
    }

    /** Calls one edge after the other until one acknowledges. */
    private static long acknowledgedAfterMs(final OperatorFleet fleet, final Random random, final boolean begin) {
        final long fromMs = fleet.nowMs();
        final EvacuationCaller operator = new EvacuationCaller(fleet, "d2");
        while (fleet.nowMs() - fromMs < GIVEN_UP_MS) {
            if (operator.call(fleet.world.pick(fleet.world.edges(), random), begin, SILENCE_MS)) {
                break;
            }
            fleet.run(PAUSE_MS);
        }
        return fleet.nowMs() - fromMs;
    }
}
