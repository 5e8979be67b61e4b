package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.configuration.change.ChangeDeadlines;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * Changes in a fleet most of whose nodes are slow: small machines on narrow links, where each step of a change takes so long that
 * all of them together outlast the time that a caller waits for one answer. The cores are not slow.
 */
class SlowNodeChangesTest {
    private static final int EDGES = 40;
    private static final int SEEDS = 2;
    private static final int CHANGES = 6;
    private static final ChangeDeadlines PATIENCE = new ChangeDeadlines(600, 950, 4000);
    /** The caller's patience, less the time that call and reply take on their way. */
    private static final long SILENCE_MS = 900;

    private static final long PAUSE_MS = 100;
    private static final long BETWEEN_MS = 6000;
    /** What a large deployment grants (5 s), less a second. */
    private static final long WITHIN_MS = 4000;
    /** One way, to and from a slow node, beyond the distance. */
    private static final long SLOW_MS = 200;

    private static final RetriedChange.Caller OPERATOR =
            new RetriedChange.Caller(PATIENCE, SILENCE_MS, calls -> PAUSE_MS);

    @Test
    void aChangeIsAcknowledgedInTimeThoughMostNodesAreSlow() {
        final List<Long> waits = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(
                            seed, Deployment.VERDE, InjectedFault.NONE, OperatorFleet.PLATFORM_SETTINGS)
                    .withEdges(EDGES)
                    .start();
            fleet.world.edges().forEach(edge -> fleet.world.net.slow(edge.address, SLOW_MS));
            fleet.run(3000);
            final Random random = new Random(seed);
            final List<RetriedChange> changes = new ArrayList<>();
            final long before = fleet.newestVersion();
            for (int i = 0; i < CHANGES; i++) {
                final RetriedChange change = new RetriedChange(fleet, random, "order-" + seed + "-" + i, OPERATOR);
                changes.add(change);
                change.request();
                fleet.run(BETWEEN_MS);
            }
            fleet.run(30_000);
            changes.forEach(change -> waits.add(change.waitedMs()));
            assertThat(fleet.newestVersion()).as("each once").isEqualTo(before + CHANGES);
        }
        Collections.sort(waits);
        System.out.println("slow nodes: half acknowledged after " + waits.get(waits.size() / 2) + " ms, all after "
                + Collections.max(waits) + " ms");
        assertThat(Collections.max(waits)).isLessThan(WITHIN_MS);
    }
}
