package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.change.ChangeDraft;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.OperatorFleet;

/** How long eight orders that are given at once, at eight nodes far from each other, wait for their acknowledgement. */
class ConcurrentChangesTest {
    private static final int ORDERS = 8;
    private static final int SEEDS = 20;
    private static final long CALL_MS = 950;
    private static final long PAUSE_MS = 50;
    /** What a deployment with 35 ms between regions grants an order (6 s), less a second. */
    private static final long WITHIN_MS = 5000;

    /** One operator's order: sent again, to another node, until it is acknowledged. */
    private static final class Order {
        private final OperatorFleet fleet;
        private final Random random;
        private final String id;
        private final long begunMs;
        private long doneMs = -1;
        private int calls;

        Order(final OperatorFleet fleet, final Random random, final String id) {
            this.fleet = fleet;
            this.random = random;
            this.id = id;
            this.begunMs = fleet.nowMs();
        }

        void send(final SimulatedNode to) {
            calls++;
            fleet.agree(to, id, draft(), CALL_MS, reply -> {
                if (reply.result() == ResultCode.OK) {
                    doneMs = fleet.nowMs();
                } else {
                    fleet.world.sim.after(PAUSE_MS * calls, () -> send(fleet.world.any(fleet.nodes(), random)));
                }
            });
        }

        /** A change that fits on whatever is newest, as a hold does. */
        private ChangeDraft draft() {
            final ObjectNode patch = (ObjectNode) fleet.bind(0, id, id).get("patch");
            return tree -> new ChangeDraft.Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
        }

        long waitedMs() {
            return doneMs < 0 ? Long.MAX_VALUE : doneMs - begunMs;
        }
    }

    @Test
    void eightAtOnceAreAllAcknowledgedInTimeAndEachOnce() {
        final List<Long> waits = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(seed, Deployment.values()[seed % 2]).begun();
            final long oneWayMs = fleet.world.deployment.apartMs;
            fleet.nodes().forEach(n -> fleet.world.net.slow(n.address, oneWayMs / 4));
            final Random random = new Random(seed);
            final List<SimulatedNode> nodes = new ArrayList<>(fleet.nodes());
            Collections.shuffle(nodes, random);
            final long before = fleet.newestVersion();
            final List<Order> orders = new ArrayList<>();
            for (int i = 0; i < ORDERS; i++) {
                final Order order = new Order(fleet, random, "order-" + seed + "-" + i);
                orders.add(order);
                order.send(nodes.get(i));
            }
            fleet.run(20_000);
            orders.forEach(o -> waits.add(o.waitedMs()));
            assertThat(fleet.newestVersion()).isEqualTo(before + ORDERS);
        }
        Collections.sort(waits);
        final LongStream shown =
                LongStream.of(waits.get(waits.size() / 2), waits.get(waits.size() * 9 / 10), Collections.max(waits));
        System.out.println("eight at once, acknowledged after (half, nine in ten, all): "
                + shown.boxed().toList() + " ms");
        assertThat(Collections.max(waits)).isLessThan(WITHIN_MS);
    }
}
