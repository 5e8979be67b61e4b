package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.configuration.change.ZoneEvacuationDraft;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * A change without an id of its own waits at a frozen node while the same change is made and undone through another node. The
 * frozen node must not apply the waiting change when it runs again.
 */
class DelayedChangeTest {
    private static final int SEEDS = 20;
    private static final long WAIT_MS = 950;
    private static final String DISTRICT = "d2";

    private static void completeHoldChange(
            final EvacuationCaller operator, final SimulatedNode at, final boolean begin) {
        assertThat(operator.call(at, begin, 3000)).isTrue();
    }

    private static List<SimulatedNode> nodesThatDrain(final OperatorFleet fleet) {
        return fleet.nodes().stream()
                .filter(n -> n.node()
                        .configurationStore()
                        .configuration()
                        .drainedZones()
                        .contains(DISTRICT))
                .toList();
    }

    @Test
    void aChangeDelayedByAFrozenNodeDoesNotUndoLaterConfirmedChanges() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final Random random = new Random(seed);
            final OperatorFleet fleet = new OperatorFleet(seed, Deployment.values()[seed % 2]).start();
            fleet.awaitFresh();
            final SimulatedNode frozen =
                    fleet.nodes().get(random.nextInt(fleet.nodes().size()));
            final SimulatedNode other = fleet.world.pick(fleet.othersThan(frozen), random);
            final EvacuationCaller operator = new EvacuationCaller(fleet, DISTRICT);
            final EvacuationCaller.Order delayed;
            if (seed % 2 == 0) {
                frozen.freeze();
                delayed = operator.send(frozen, true);
            } else {
                delayed = operator.send(frozen, true);
                fleet.run(random.nextInt(250));
                frozen.freeze();
            }
            fleet.run(1000);
            delayed.giveUp();
            completeHoldChange(operator, other, true);
            fleet.run(random.nextInt(3000));
            completeHoldChange(operator, other, false);
            fleet.run(500);
            frozen.thaw();
            fleet.run(5000);
            assertThat(nodesThatDrain(fleet)).as("seed %s", seed).isEmpty();
        }
    }

    /** Shows that the check is effective: the same change submitted with an id isn't checked and drains the zone again. */
    @Test
    void theSameChangeSubmittedWithAnIdUndoesTheLaterOne() {
        final OperatorFleet fleet = new OperatorFleet(1, Deployment.PADMA).start();
        fleet.awaitFresh();
        final SimulatedNode frozen = fleet.nodes().get(3);
        frozen.freeze();
        fleet.submit(frozen, "waited", new ZoneEvacuationDraft(DISTRICT, true), WAIT_MS, reply -> {});
        final EvacuationCaller operator = new EvacuationCaller(fleet, DISTRICT);
        completeHoldChange(operator, fleet.nodes().get(0), true);
        fleet.run(3000);
        completeHoldChange(operator, fleet.nodes().get(0), false);
        frozen.thaw();
        fleet.run(5000);
        assertThat(nodesThatDrain(fleet)).isNotEmpty();
    }
}
