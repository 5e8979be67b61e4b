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
 * Changes in a fleet in which all edges, and so most nodes, are slow: small machines on slow links, where the steps of a change
 * together take longer than a caller waits for one reply. The cores are not slow.
 */
class SlowNodeChangesTest {
    private static final int EDGES = 40;
    private static final int SEEDS = 2;
    private static final int CHANGES = 6;
    private static final ChangeDeadlines PATIENCE = new ChangeDeadlines(600, 950, 4000);
    /** How long the caller waits for a reply, less the transit time of call and reply. */
    private static final long SILENCE_MS = 900;

    private static final long PAUSE_MS = 100;
    private static final long BETWEEN_MS = 6000;
    /** Limit for a change in a large deployment (5 s), less a margin of 1 s. */
    private static final long WITHIN_MS = 4000;
    /** Additional one-way delay to and from a slow node. */
    private static final long SLOW_MS = 200;

    private static final RetriedChange.Caller OPERATOR =
            new RetriedChange.Caller(PATIENCE, SILENCE_MS, calls -> PAUSE_MS);

    @Test
    void changesAreAcknowledgedInTimeWhenMostNodesAreSlow() {
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
            assertThat(fleet.newestVersion()).as("each change is applied once").isEqualTo(before + CHANGES);
        }
        Collections.sort(waits);
        System.out.println("slow nodes: half acknowledged after " + waits.get(waits.size() / 2) + " ms, all after "
                + Collections.max(waits) + " ms");
        assertThat(Collections.max(waits)).isLessThan(WITHIN_MS);
    }
}
