package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.change.ChangeDraft;
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
    private static final ChangeCoordinator.Patience PATIENCE = new ChangeCoordinator.Patience(600, 950, 4000);
    /** The caller's patience, less the time that call and reply take on their way. */
    private static final long SILENCE_MS = 900;

    private static final long PAUSE_MS = 100;
    private static final long BETWEEN_MS = 6000;
    /** What a large deployment grants (5 s), less a second. */
    private static final long WITHIN_MS = 4000;
    /** One way, to and from a slow node, beyond the distance. */
    private static final long SLOW_MS = 200;

    private static final Map<String, String> SETTINGS =
            Map.of("cores", "0", "edges", "0", "alsoEdge", "1", "proofMs", "500", "bootstrap", "1");

    /** One operator's change: sent again, to another node or where it is redirected, until it is acknowledged. */
    private static final class Order {
        private final OperatorFleet fleet;
        private final Random random;
        private final String id;
        private final long begunMs;
        private long waitedMs = Long.MAX_VALUE;
        private int calls;

        Order(final OperatorFleet fleet, final Random random, final String id) {
            this.fleet = fleet;
            this.random = random;
            this.id = id;
            this.begunMs = fleet.nowMs();
        }

        void send(final SimulatedNode to) {
            final int call = ++calls;
            final ObjectNode patch = (ObjectNode) fleet.bind(0, id, id).get("patch");
            final ChangeDraft draft = tree -> new ChangeDraft.Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
            fleet.agree(to, id, draft, PATIENCE, reply -> onReply(call, reply));
            fleet.world.sim.after(SILENCE_MS, () -> tryElsewhere(call));
        }

        /** A reply that comes after the caller has moved on isn't heard. */
        private void onReply(final int call, final Reply reply) {
            if (call != calls) {
                return;
            }
            final String voter = reply.fields().path("voter").asText("");
            if (reply.result() == ResultCode.OK) {
                waitedMs = fleet.nowMs() - begunMs;
                calls++;
            } else if (!voter.isEmpty()) {
                send(fleet.world.byAddress.get(voter));
            } else {
                tryElsewhere(call);
            }
        }

        private void tryElsewhere(final int call) {
            if (call == calls) {
                calls++;
                fleet.world.sim.after(PAUSE_MS, () -> send(fleet.world.any(fleet.nodes(), random)));
            }
        }
    }

    @Test
    void aChangeIsAcknowledgedInTimeThoughMostNodesAreSlow() {
        final List<Long> waits = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(seed, Deployment.VERDE, InjectedFault.NONE, SETTINGS);
            for (int i = fleet.world.edges().size(); i < EDGES; i++) {
                fleet.world.addEdge("edge-" + i, i);
            }
            fleet.begun();
            fleet.world.edges().forEach(edge -> fleet.world.net.slow(edge.address, SLOW_MS));
            fleet.run(3000);
            final Random random = new Random(seed);
            final List<Order> orders = new ArrayList<>();
            final long before = fleet.newestVersion();
            for (int i = 0; i < CHANGES; i++) {
                final Order order = new Order(fleet, random, "order-" + seed + "-" + i);
                orders.add(order);
                order.send(fleet.world.any(fleet.nodes(), random));
                fleet.run(BETWEEN_MS);
            }
            fleet.run(30_000);
            orders.forEach(order -> waits.add(order.waitedMs));
            assertThat(fleet.newestVersion()).as("each once").isEqualTo(before + CHANGES);
        }
        Collections.sort(waits);
        System.out.println("slow nodes: half acknowledged after " + waits.get(waits.size() / 2) + " ms, all after "
                + Collections.max(waits) + " ms");
        assertThat(Collections.max(waits)).isLessThan(WITHIN_MS);
    }
}
