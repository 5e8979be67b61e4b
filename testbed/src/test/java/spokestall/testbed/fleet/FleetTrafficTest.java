package spokestall.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.simulation.MessageTraffic;
import spokestall.testbed.simulation.Scenario;
import spokestall.testbed.simulation.SimulatedNode;
import spokestall.testbed.simulation.SimulatedWorld;

/** Bounds of the control traffic between regions, which is the most expensive traffic. The figures are in measurements.md. */
class FleetTrafficTest {
    private static final Map<String, String> LOW_TRAFFIC_SETTINGS = Map.of(
            "probes",
            "0",
            "proofMs",
            "800",
            "freshMs",
            "2000",
            "countPushMs",
            "250",
            "uncountedMs",
            "0",
            "listMs",
            "5000");

    @BeforeAll
    static void quiet() {
        Logger.getLogger("").setLevel(Level.OFF);
    }

    private static double bytesPerNode(final Map<String, MessageTraffic.Sum> sums, final String... kinds) {
        return MessageTraffic.betweenRegionsPerNode(sums, kinds);
    }

    @Test
    void controlTrafficWithoutRequestsIsBounded() {
        final Map<String, MessageTraffic.Sum> rest = MessageTraffic.measure(1, Deployment.PADMA, false, Map.of());
        assertThat(bytesPerNode(rest, "FreshnessRequest", "FreshnessResponse")).isLessThan(900);
        assertThat(bytesPerNode(rest, "FeedRequest", "FeedResponse")).isLessThan(900);
        assertThat(bytesPerNode(rest, "Counts", "CountsAcknowledged")).isLessThan(40);
        assertThat(bytesPerNode(rest, "Prepare", "Promise", "Accept", "Accepted", "Chosen"))
                .isLessThan(350);
        assertThat(bytesPerNode(rest, "Push")).isLessThan(1000);
        assertThat(bytesPerNode(rest, "Shuffle")).isLessThan(600);
        assertThat(rest.get("FreshnessRequest").bytes() / rest.get("FreshnessRequest").messages)
                .isLessThan(60);
        assertThat(rest.get("FreshnessResponse").bytes() / rest.get("FreshnessResponse").messages)
                .isLessThan(70);
        final Map<String, MessageTraffic.Sum> sparing =
                MessageTraffic.measure(1, Deployment.PADMA, false, LOW_TRAFFIC_SETTINGS);
        assertThat(bytesPerNode(sparing) - bytesPerNode(sparing, "VoterStatus")).isLessThan(1500);
        assertThat(bytesPerNode(sparing, "Push")).isLessThan(20);
    }

    @Test
    void controlTrafficWithRequestsIsBounded() {
        final Map<String, MessageTraffic.Sum> requests = MessageTraffic.measure(1, Deployment.PADMA, true, Map.of());
        assertThat(bytesPerNode(requests, "Counts", "CountsAcknowledged")).isLessThan(3500);
        assertThat(bytesPerNode(
                        requests,
                        "FreshnessRequest",
                        "FreshnessResponse",
                        "FeedRequest",
                        "FeedResponse",
                        "Push",
                        "Shuffle"))
                .isLessThan(3400);
        final Map<String, MessageTraffic.Sum> sparing =
                MessageTraffic.measure(1, Deployment.PADMA, true, LOW_TRAFFIC_SETTINGS);
        assertThat(bytesPerNode(sparing, "Counts", "CountsAcknowledged")).isLessThan(1200);
    }

    /** Checks that one membership shuffle per second and node suffices to keep the lists of nodes current. */
    @Test
    void allNodesRemoveAKilledNodeAndListItAgainAfterItsRestart() {
        for (long seed = 1; seed <= 3; seed++) {
            final SimulatedWorld world =
                    new SimulatedWorld(seed, Deployment.VERDE, false, InjectedFault.NONE, Scenario.CALM, Map.of());
            for (final SimulatedNode node : world.nodes.values()) {
                world.sim.after(world.sim.random(node.name).nextInt(1500), node::start);
            }
            world.sim.run(30_000);
            final SimulatedNode one = world.nodes.get("d3-edge");
            assertThat(nodesListing(world, one.name)).isEqualTo(11);
            one.kill();
            world.sim.run(30_000 + 16_000);
            assertThat(nodesListing(world, one.name)).isZero();
            world.sim.run(90_000);
            one.start();
            world.sim.run(90_000 + 3000);
            assertThat(nodesListing(world, one.name)).isEqualTo(11);
        }
    }

    private static int nodesListing(final SimulatedWorld world, final String name) {
        final int[] found = {0};
        for (final SimulatedNode node : world.nodes.values()) {
            if (!node.name.equals(name)) {
                world.call(
                        node,
                        "status",
                        JsonNodeFactory.instance.objectNode(),
                        reply -> found[0] += reply.fields().path("nodes").has(name) ? 1 : 0);
            }
        }
        return found[0];
    }
}
