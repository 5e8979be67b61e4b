package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import spokestall.configuration.change.ChangeDeadlines;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.OperatorFleet;

/** Eight changes, submitted at the same time at eight nodes that are far from each other, are each acknowledged in time. */
class ConcurrentChangesTest {
    private static final int ORDERS = 8;
    private static final int SEEDS = 20;
    private static final long CALL_MS = 950;
    private static final long PAUSE_MS = 50;
    /** Limit for a change in a deployment with 35 ms between regions (6 s), less a margin of 1 s. */
    private static final long WITHIN_MS = 5000;

    private static final RetriedChange.Caller OPERATOR =
            new RetriedChange.Caller(ChangeDeadlines.of(CALL_MS), RetriedChange.NEVER, calls -> PAUSE_MS * calls);

    @Test
    void eightConcurrentChangesAreEachAcknowledgedOnceAndInTime() {
        final List<Long> waits = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(seed, Deployment.values()[seed % 2]).start();
            final long oneWayMs = fleet.world.deployment.interRegionRttMs;
            fleet.nodes().forEach(n -> fleet.world.net.slow(n.address, oneWayMs / 4));
            final Random random = new Random(seed);
            final List<SimulatedNode> nodes = new ArrayList<>(fleet.nodes());
            Collections.shuffle(nodes, random);
            final long before = fleet.newestVersion();
            final List<RetriedChange> changes = new ArrayList<>();
            for (int i = 0; i < ORDERS; i++) {
                final RetriedChange change = new RetriedChange(fleet, random, "order-" + seed + "-" + i, OPERATOR);
                changes.add(change);
                change.request(nodes.get(i));
            }
            fleet.run(20_000);
            changes.forEach(change -> waits.add(change.waitedMs()));
            assertThat(fleet.newestVersion()).isEqualTo(before + ORDERS);
        }
        Collections.sort(waits);
        final LongStream shown =
                LongStream.of(waits.get(waits.size() / 2), waits.get(waits.size() * 9 / 10), Collections.max(waits));
        System.out.println("eight concurrent changes, acknowledged after (p50, p90, max): "
                + shown.boxed().toList() + " ms");
        assertThat(Collections.max(waits)).isLessThan(WITHIN_MS);
    }
}
