package spokestall.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.simulation.Scenario;
import spokestall.testbed.simulation.SimulatedNode;
import spokestall.testbed.simulation.SimulationRun;

/** After any failure, a node that is in contact with a majority of the cores can direct clients to edges. */
class DirectoryTest {
    private static final long TICK_MS = 100;
    private static final long FROM_MS = 2000;
    private static final long UNTIL_MS = 90_000;
    /** Clients wait at most one second for a node's response. */
    private static final long WITHOUT_MAX_MS = 1000;

    @BeforeAll
    static void quiet() {
        Logger.getLogger("").setLevel(Level.OFF);
    }

    /** Returns, by node, the longest time that the node was fresh but listed no edges, where longer than {@link #WITHOUT_MAX_MS}. */
    private static Map<String, Long> longestWithoutEdges(final Scenario scenario, final long seed) {
        final SimulationRun run = new SimulationRun(seed, Deployment.PADMA, scenario, false, InjectedFault.NONE);
        final Map<String, Long> sinceMs = new HashMap<>();
        final Map<String, Long> longestMs = new TreeMap<>();
        final Runnable sample = new Runnable() {
            @Override
            public void run() {
                final long nowMs = run.world.sim.nowMs();
                for (final SimulatedNode node : run.world.nodes.values()) {
                    final boolean withoutEdges = node.isRunning()
                            && node.node().directory().edges().isEmpty()
                            && !node.node().leaving()
                            && node.node().feedClient().isFresh();
                    if (!withoutEdges) {
                        sinceMs.remove(node.name);
                    } else {
                        sinceMs.putIfAbsent(node.name, nowMs);
                        longestMs.merge(node.name, nowMs - sinceMs.get(node.name), Math::max);
                    }
                }
                if (nowMs < UNTIL_MS) {
                    run.world.sim.after(TICK_MS, this);
                }
            }
        };
        run.world.sim.after(FROM_MS, sample);
        assertThat(run.play()).isTrue();
        longestMs.values().removeIf(ms -> ms <= WITHOUT_MAX_MS);
        return longestMs;
    }

    @Test
    void aNodeInContactWithAMajorityListsEdges() {
        for (final Scenario scenario : List.of(
                Scenario.RESTART_ALL,
                Scenario.DISTRICT_POWER,
                Scenario.NODE_KILLS,
                Scenario.CUTS,
                Scenario.SPLIT,
                Scenario.MOVED)) {
            assertThat(longestWithoutEdges(scenario, 3)).as(scenario.name()).isEmpty();
        }
    }
}
