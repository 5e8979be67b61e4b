package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.change.ChangeDeadlines;
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

    /** The deadlines of the platform's calls: a change is pursued for longer than its caller waits. */
    private static final ChangeDeadlines PURSUED = new ChangeDeadlines(600, WAIT_MS, 4000);

    private static OperatorFleet.Call completeHoldChange(
            final OperatorFleet fleet, final SimulatedNode at, final boolean begin) {
        final OperatorFleet.Call call = new OperatorFleet.Call();
        submitHoldChange(fleet, at, begin, reply -> call.reply = reply);
        fleet.runUntil("the hold change is answered", 3000, () -> call.reply != null);
        return call;
    }

    private static void submitHoldChange(
            final OperatorFleet fleet,
            final SimulatedNode at,
            final boolean begin,
            final java.util.function.Consumer<Reply> done) {
        final String id = "hold-" + fleet.nowMs() + at.name;
        at.run(
                at.incarnation(),
                () -> at.node().changeCoordinator().submitWithoutId(id, new HoldDraft(DISTRICT, begin), PURSUED, done));
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
            if (seed % 2 == 0) {
                frozen.freeze();
                submitHoldChange(
                        fleet, frozen, true, reply -> assertThat(reply.result()).isEqualTo(ResultCode.NOT_READY));
            } else {
                submitHoldChange(fleet, frozen, true, reply -> {});
                fleet.run(random.nextInt(250));
                frozen.freeze();
            }
            fleet.run(1000);
            assertThat(completeHoldChange(fleet, other, true).result()).isEqualTo(ResultCode.OK);
            fleet.run(random.nextInt(3000));
            assertThat(completeHoldChange(fleet, other, false).result()).isEqualTo(ResultCode.OK);
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
        fleet.submit(frozen, "waited", new HoldDraft(DISTRICT, true), WAIT_MS, reply -> {});
        assertThat(completeHoldChange(fleet, fleet.nodes().get(0), true).result())
                .isEqualTo(ResultCode.OK);
        fleet.run(3000);
        assertThat(completeHoldChange(fleet, fleet.nodes().get(0), false).result())
                .isEqualTo(ResultCode.OK);
        frozen.thaw();
        fleet.run(5000);
        assertThat(nodesThatDrain(fleet)).isNotEmpty();
    }
}
