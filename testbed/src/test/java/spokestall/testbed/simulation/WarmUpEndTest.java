package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * Most upstreams of a service are gone and the few that replace them warm up, while clients send more requests than these may take.
 * The limit on the requests to an upstream must hold until the end of its warm-up, although the platform is distant and its list
 * tells the warm-up that remains at the time of its answer.
 */
class WarmUpEndTest {
    private static final int SEEDS = 3;
    private static final int REPLACED = 2;
    private static final int DEMAND = 3;
    private static final int MANY_EDGES = 16;
    private static final long RESTART_MS = 300;
    private static final long RESTART_GAP_MS = 600;
    /** Fewer requests in the busiest second would show that the limit holds only because the upstream is hardly used. */
    private static final int LEAST_USED = 7;

    private static final long SECOND_MS = 1000;
    private static final double OVERAGE = 1.5;
    private static final double SLACK_PER_S = 5;
    /** Fraction of the platform's bounds that the nodes are set to use. */
    private static final double KEPT_WITHIN = 0.8;

    private static final Map<String, String> SETTINGS = new HashMap<>(OperatorFleet.UNPROBED_SETTINGS);

    static {
        SETTINGS.put("warmRatio", Double.toString(OVERAGE * KEPT_WITHIN));
        SETTINGS.put("warmSlack", Double.toString(SLACK_PER_S * KEPT_WITHIN));
    }

    @Test
    void anUpstreamIsSentNoMoreThanItsBoundInAnySecondOfItsWarmUp() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            checkWarmUpBound(seed, new OperatorFleet(seed, Deployment.PADMA, InjectedFault.NONE, SETTINGS));
        }
    }

    @Test
    void theBoundHoldsInAnySecondWithManyEdges() {
        checkWarmUpBound(1, new OperatorFleet(1, Deployment.PADMA, InjectedFault.NONE, SETTINGS).withEdges(MANY_EDGES));
    }

    @Test
    void theBoundHoldsWhileEdgesStartAnew() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet =
                    new OperatorFleet(seed, Deployment.PADMA, InjectedFault.NONE, SETTINGS).withEdges(MANY_EDGES);
            checkWarmUpBound(seed, fleet, () -> restartEdgesInTurn(fleet.world));
        }
    }

    private static void restartEdgesInTurn(final SimulatedWorld world) {
        long afterMs = 0;
        for (final SimulatedNode edge : world.edges()) {
            world.sim.after(afterMs, () -> {
                edge.kill();
                world.sim.after(RESTART_MS, edge::start);
            });
            afterMs += RESTART_GAP_MS;
        }
    }

    private static void checkWarmUpBound(final int seed, final OperatorFleet fleet) {
        checkWarmUpBound(seed, fleet, () -> {});
    }

    private static void checkWarmUpBound(final int seed, final OperatorFleet fleet, final Runnable meanwhile) {
        final SimulatedWorld world = fleet.start().world;
        world.environment.computeWarmUpOnAnswer();
        world.clients.start();
        fleet.run(5000);
        world.clients.rate(DEMAND * world.deployment.ratePerS);
        final List<SimulatedEnvironment.Upstream> replacements = replaceMost(world);
        meanwhile.run();
        fleet.run(SimulatedWorld.WARMUP_MS + 2000);
        for (final SimulatedEnvironment.Upstream up : replacements) {
            final int most = mostInASecond(world, up);
            System.out.println("warm-up of " + up.instance + " with seed " + seed + " and "
                    + fleet.nodes().size() + " edges: " + most + " in one second");
            assertThat(most)
                    .as("requests within one second at %s, seed %s", up.instance, seed)
                    .isBetween(LEAST_USED, (int) (OVERAGE * SimulatedWorld.WARM_PER_S + SLACK_PER_S));
        }
    }

    private static List<SimulatedEnvironment.Upstream> replaceMost(final SimulatedWorld world) {
        final List<SimulatedEnvironment.Upstream> gone = world.environment.running().stream()
                .filter(up -> up.service.equals(world.deployment.largeService))
                .toList();
        gone.forEach(up -> {
            world.environment.stop(up);
            up.listed = false;
        });
        return gone.stream().limit(REPLACED).map(world.environment::replace).toList();
    }

    private static int mostInASecond(final SimulatedWorld world, final SimulatedEnvironment.Upstream up) {
        final List<Long> arrivalsMs = world.executions.stream()
                .filter(begun -> begun.instance().equals(up.instance) && begun.ageMs() < SimulatedWorld.WARMUP_MS)
                .map(SimulatedWorld.Begun::atMs)
                .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivalsMs.size(); last++) {
            while (arrivalsMs.get(last) - arrivalsMs.get(first) >= SECOND_MS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
