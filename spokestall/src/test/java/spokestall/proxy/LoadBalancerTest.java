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
    private static final ServiceLimits RULE = new ServiceLimits("s", 1000, 1000, 2000, 3000, 5.8);
    private final List<Upstream> listed = new ArrayList<>();
    private final ManualClock clock = new ManualClock(1_000_000);

    private LoadBalancer loadBalancer(final int edges, final long seed) {
        return new LoadBalancer(
                "r1",
                "d1",
                s -> listed,
                clock,
                new FleetClock(clock, 250),
                new Random(seed),
                new LoadBalancer.Timing(() -> edges, 1.2, 4, 750, 6000, 0.15, 1));
    }

    private void list(final String instance, final String zone, final String region, final int slots) {
        listed.add(new Upstream(instance, "s", "10.0.0.1:80", zone, region, 0, slots, 0));
    }

    @Test
    void nearOnesAreTakenUntilTheyAreFullAndFarOnesOnlyThen() {
        list("near", "d1", "r1", 3);
        list("around", "d2", "r1", 3);
        list("far", "d5", "r3", 3);
        final LoadBalancer loadBalancer = loadBalancer(1, 1);
        final Map<String, Integer> open = new HashMap<>();
        for (int n = 0; n < 8; n++) {
            final Upstream to = loadBalancer.elect(RULE, u -> true, Set.of());
            loadBalancer.begun(to.instance());
            open.merge(to.instance(), 1, Integer::sum);
            assertThat(open.getOrDefault("far", 0))
                    .as("while others have room: " + open)
                    .isLessThanOrEqualTo(Math.max(0, n - 3));
        }
        assertThat(open.get("near")).isGreaterThanOrEqualTo(open.getOrDefault("around", 0));
        assertThat(open).containsKey("around");
    }

    @Test
    void oneLossIsChanceTwoInARowPutAsideAndAnAnswerBringsBack() {
        list("one", "d1", "r1", 3);
        list("two", "d2", "r1", 3);
        final LoadBalancer loadBalancer = loadBalancer(1, 2);
        loadBalancer.begun("one");
        loadBalancer.ended("s", "one", LoadBalancer.End.LOST, 10, 500);
        assertThat(loadBalancer.elect(RULE, u -> true, Set.of()).instance()).isEqualTo("one");
        loadBalancer.late("one");
        for (int n = 0; n < 20; n++) {
            assertThat(loadBalancer.elect(RULE, u -> true, Set.of()).instance())
                    .as("put aside")
                    .isEqualTo("two");
        }
        assertThat(loadBalancer.elect(RULE, u -> u.instance().equals("one"), Set.of()))
                .as("better than none")
                .isNotNull();
        loadBalancer.begun("one");
        loadBalancer.ended("s", "one", LoadBalancer.End.WELL, 10, 500);
        assertThat(loadBalancer.elect(RULE, u -> true, Set.of()).instance()).isEqualTo("one");
    }

    @Test
    void acrossAllEdgesAChilledUpstreamGetsNoMoreThanItsRamp() {
        list("cold", "d1", "r1", 3);
        final int edges = 12;
        final List<LoadBalancer> all = new ArrayList<>();
        for (int i = 0; i < edges; i++) {
            all.add(loadBalancer(edges, i));
            all.get(i).chill(List.of("cold"), 3000);
        }
        final List<Long> sentMs = new ArrayList<>();
        for (final long untilMs = clock.nowMs() + 2900; clock.nowMs() < untilMs; clock.advance(10)) {
            for (final LoadBalancer loadBalancer : all) {
                if (loadBalancer.elect(RULE, u -> true, Set.of()) != null) {
                    sentMs.add(clock.nowMs());
                }
            }
        }
        for (final long fromMs : sentMs) {
            final long within = sentMs.stream()
                    .filter(ms -> ms >= fromMs && ms < fromMs + 1000)
                    .count();
            assertThat(within)
                    .as("in the second from " + fromMs)
                    .isLessThanOrEqualTo(Math.round(1.2 * 5.8 + 4) + edges);
        }
        assertThat(sentMs).isNotEmpty();
        clock.advance(200);
        assertThat(all.get(0).elect(RULE, u -> true, Set.of())).as("warm again").isNotNull();
    }
}
