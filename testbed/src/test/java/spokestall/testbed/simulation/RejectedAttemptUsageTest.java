package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;
import spokestall.testbed.standin.UpstreamStandIn;
import spokestall.testbed.verdict.Ledger;

/**
 * Compares each tenant's count in a window's usage report with the requests that the upstreams began, while attempts end in other
 * ways than by a response.
 */
class RejectedAttemptUsageTest {
    private static final int SEEDS = 2;
    private static final long PHASE_MS = 4 * SimulatedWorld.WINDOW_MS;
    private static final long REPORTED_MS = 3 * SimulatedWorld.WINDOW_MS;
    /** Largest relative error of a tenant's reported count, and the number of requests allowed beyond it at a window's edges. */
    private static final double OFF_MAX = 0.05;

    private static final int EDGE_MAX = 3;

    @Test
    void attemptsThatUpstreamsRejectAreNotReported() {
        checkUsage(world -> upstreamsOfTheLargeService(world).forEach(up -> up.rejectsHalf = true));
    }

    @Test
    void attemptsForAnInstanceWhoseAddressAnotherTookAreNotReported() {
        checkUsage(RejectedAttemptUsageTest::replaceAtTheirAddresses);
    }

    @Test
    void attemptsWhoseAnswersAreLostAreReported() {
        checkUsage(world -> behave(world, UpstreamStandIn.Behavior.FLAKY));
    }

    @Test
    void attemptsThatSpanWindowsCountInTheWindowInWhichTheyBegan() {
        checkUsage(world -> behave(world, UpstreamStandIn.Behavior.SLOW));
    }

    private interface Disturbance {
        void begin(SimulatedWorld world);
    }

    private static void checkUsage(final Disturbance trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            final OperatorFleet fleet = new OperatorFleet(
                            seed, Deployment.PADMA, InjectedFault.NONE, OperatorFleet.UNPROBED_SETTINGS)
                    .start();
            fleet.world.clients.start();
            fleet.run(PHASE_MS);
            trouble.begin(fleet.world);
            fleet.run(PHASE_MS);
            behave(fleet.world, UpstreamStandIn.Behavior.WELL);
            fleet.run(REPORTED_MS);
            assertThat(mismatches(fleet.world))
                    .as("windows with wrong counts, seed %s", seed)
                    .isEmpty();
        }
    }

    private static void behave(final SimulatedWorld world, final UpstreamStandIn.Behavior manner) {
        upstreamsOfTheLargeService(world).forEach(up -> up.behavior = manner);
    }

    private static List<SimulatedEnvironment.Upstream> upstreamsOfTheLargeService(final SimulatedWorld world) {
        return world.environment.running().stream()
                .filter(up -> up.service.equals(world.deployment.largeService))
                .toList();
    }

    private static void replaceAtTheirAddresses(final SimulatedWorld world) {
        final List<SimulatedEnvironment.Upstream> all = upstreamsOfTheLargeService(world);
        all.subList(0, all.size() / 2).forEach(up -> {
            world.environment.stop(up);
            world.environment.add(up.service, up.address, up.zone, up.region, world.sim.nowMs());
        });
    }

    /** Returns a line for each reported count that is too far from the upstreams' count. */
    private static List<String> mismatches(final SimulatedWorld world) {
        final Map<Long, Map<String, Long>> begun = new TreeMap<>();
        world.executions.forEach(each -> begun.computeIfAbsent(window(each.atMs()), w -> new HashMap<>())
                .merge(world.requests.get(each.requestId()).kind.tenant(), 1L, Long::sum));
        final Map<Long, Map<String, Long>> reported = new TreeMap<>();
        for (final Ledger.Reported report : world.reports) {
            reported.putIfAbsent(report.window(), report.counts());
        }
        assertThat(reported.keySet()).as("reported windows").hasSizeGreaterThan(5);
        final List<String> found = new ArrayList<>();
        reported.forEach(
                (window, counts) -> found.addAll(mismatches(window, begun.getOrDefault(window, Map.of()), counts)));
        return found;
    }

    private static List<String> mismatches(
            final long window, final Map<String, Long> begun, final Map<String, Long> reported) {
        final List<String> found = new ArrayList<>();
        final TreeSet<String> tenants = new TreeSet<>(begun.keySet());
        tenants.addAll(reported.keySet());
        for (final String tenant : tenants) {
            final long real = begun.getOrDefault(tenant, 0L);
            final long said = reported.getOrDefault(tenant, 0L);
            if (Math.abs(real - said) > EDGE_MAX + OFF_MAX * real) {
                found.add("window " + window + " " + tenant + ": began " + real + ", reported " + said);
            }
        }
        return found;
    }

    private static long window(final long atMs) {
        return (SimulatedWorld.EPOCH_MS + atMs) / SimulatedWorld.WINDOW_MS;
    }
}
