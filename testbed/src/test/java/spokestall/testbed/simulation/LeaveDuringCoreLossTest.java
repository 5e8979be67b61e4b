package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/** Upstreams begin to leave while no core runs, so nobody reads the platform's list until the cores are back. */
class LeaveDuringCoreLossTest {
    private static final int SEEDS = 5;
    private static final int LEAVING = 8;
    /** Longer than the bound on requests to leaving upstreams, and than the platform's list lags. */
    private static final long CORES_DOWN_MS = 8000;

    private static final Map<String, String> SETTINGS = new HashMap<>(OperatorFleet.UNPROBED_SETTINGS);

    static {
        SETTINGS.put("proofMs", "500");
    }

    @Test
    void leavingUpstreamsGetNoRequestBetweenTheCoresReturnAndTheirFirstReadOfTheList() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(seed, Deployment.VERDE, InjectedFault.NONE, SETTINGS);
            final SimulatedWorld world = fleet.start().world;
            world.clients.start();
            fleet.run(3000);
            world.cores().forEach(SimulatedNode::kill);
            final List<SimulatedEnvironment.Upstream> leaving = world.environment.running().stream()
                    .filter(upstream -> upstream.service.equals(world.deployment.largeService))
                    .limit(LEAVING)
                    .toList();
            leaving.forEach(upstream -> upstream.leaving = true);
            fleet.run(CORES_DOWN_MS);
            final long returnedMs = fleet.nowMs();
            world.cores().forEach(SimulatedNode::start);
            fleet.awaitFresh();
            fleet.run(3000);
            final List<String> late = world.executions.stream()
                    .filter(begun -> begun.atMs() > returnedMs
                            && leaving.stream().anyMatch(upstream -> upstream.instance.equals(begun.instance())))
                    .map(SimulatedWorld.Begun::toString)
                    .toList();
            assertThat(world.executions.stream().filter(begun -> begun.atMs() > returnedMs))
                    .as("requests that run after the return, seed %s", seed)
                    .hasSizeGreaterThan(50);
            assertThat(late).as("requests at leaving upstreams, seed %s", seed).isEmpty();
        }
    }
}
