package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class LoadBalancerTest {
    private static final ServiceLimits SERVICE = new ServiceLimits("s", 1000, 1000, 2000, 3000, 5.8);
    private final List<Upstream> upstreams = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);

    /** Returns the load balancer of one of {@code edges} edges; the random seed also gives the edge's rank. */
    private LoadBalancer loadBalancer(final int edges, final int seed) {
        return new LoadBalancer(
                new Locality("r1", "d1"),
                service -> upstreams,
                clock,
                new FleetClock(clock, 250),
                new Random(seed),
                new LoadBalancerParameters(
                        new LoadBalancerParameters.SlowStartLimits(new FixedEdgeShares(edges, seed % edges), 1.2, 4, 0),
                        new LoadBalancerParameters.EjectionTimes(750, 6000),
                        new LoadBalancerParameters.DistanceCosts(0.15, 1)));
    }

    private void addUpstream(final String instance, final String zone, final String region, final int slots) {
        upstreams.add(new Upstream(instance, "s", "10.0.0.1:80", zone, region, 0, slots, 0));
    }

    @Test
    void prefersNearUpstreamsUntilTheirSlotsAreFull() {
        addUpstream("same-zone", "d1", "r1", 3);
        addUpstream("same-region", "d2", "r1", 3);
        addUpstream("other-region", "d5", "r3", 3);
        final LoadBalancer loadBalancer = loadBalancer(1, 1);
        final Map<String, Integer> open = new HashMap<>();
        for (int n = 0; n < 8; n++) {
            final Upstream to = loadBalancer.pick(SERVICE, u -> true, Set.of()).orElseThrow();
            loadBalancer.onAttemptStarted(to.instance());
            open.merge(to.instance(), 1, Integer::sum);
            assertThat(open.getOrDefault("other-region", 0))
                    .as("other upstreams have free slots: " + open)
                    .isLessThanOrEqualTo(Math.max(0, n - 3));
        }
        assertThat(open.get("same-zone")).isGreaterThanOrEqualTo(open.getOrDefault("same-region", 0));
        assertThat(open).containsKey("same-region");
    }

    @Test
    void twoConsecutiveLossesEjectAnUpstreamAndAResponseEndsTheEjection() {
        addUpstream("one", "d1", "r1", 3);
        addUpstream("two", "d2", "r1", 3);
        final LoadBalancer loadBalancer = loadBalancer(1, 2);
        loadBalancer.onAttemptStarted("one");
        loadBalancer.onAttemptEnded("s", "one", AttemptOutcome.LOST, 10, 500);
        assertThat(loadBalancer.pick(SERVICE, u -> true, Set.of()).map(Upstream::instance))
                .contains("one");
        loadBalancer.onAttemptLate("one");
        for (int n = 0; n < 20; n++) {
            assertThat(loadBalancer.pick(SERVICE, u -> true, Set.of()).map(Upstream::instance))
                    .as("ejected")
                    .contains("two");
        }
        assertThat(loadBalancer.pick(SERVICE, u -> u.instance().equals("one"), Set.of()))
                .as("an ejected upstream is picked if there is no other")
                .isPresent();
        loadBalancer.onAttemptStarted("one");
        loadBalancer.onAttemptEnded("s", "one", AttemptOutcome.ANSWERED, 10, 500);
        assertThat(loadBalancer.pick(SERVICE, u -> true, Set.of()).map(Upstream::instance))
                .contains("one");
    }

    @Test
    void edgesTogetherStayWithinTheRampAfterARestartedSlowStart() {
        addUpstream("warming", "d1", "r1", 3);
        final int edges = 12;
        final List<LoadBalancer> all = new ArrayList<>();
        for (int i = 0; i < edges; i++) {
            all.add(loadBalancer(edges, i));
            all.get(i).restartSlowStart(List.of("warming"), 3000);
        }
        final List<Long> sentMs = new ArrayList<>();
        for (final long untilMs = clock.nowMs() + 2900; clock.nowMs() < untilMs; clock.advance(10)) {
            for (final LoadBalancer loadBalancer : all) {
                if (loadBalancer.pick(SERVICE, u -> true, Set.of()).isPresent()) {
                    sentMs.add(clock.nowMs());
                }
            }
        }
        for (final long fromMs : sentMs) {
            final long within = sentMs.stream()
                    .filter(ms -> ms >= fromMs && ms < fromMs + 1000)
                    .count();
            assertThat(within).as("attempts in the second from " + fromMs).isLessThanOrEqualTo((long) (1.2 * 5.8 + 4));
        }
        assertThat(sentMs).isNotEmpty();
        clock.advance(200);
        assertThat(all.get(0).pick(SERVICE, u -> true, Set.of()))
                .as("warmed up")
                .isPresent();
    }
}
