package spokestall.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.gossip.NodeInfo;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

/** Three cores and an edge that hear each other at once; the platform's list is what the test says. */
class HealthCheckerTest {
    private static final long LIST_MS = 1000;
    private final ManualClock clock = new ManualClock(5_000_000);
    private final FleetClock fleet = new FleetClock(clock, 100);
    private final Map<String, EndpointRegistry> listings = new TreeMap<>();
    private final Map<String, HealthChecker> probers = new TreeMap<>();
    private final Map<String, Integer> reads = new TreeMap<>();
    private final Map<String, Integer> heard = new TreeMap<>();
    private final List<Endpoint> list = new ArrayList<>();
    private final List<NodeInfo> members = new ArrayList<>();

    HealthCheckerTest() {
        fleet.heard("p", clock.nowMs(), true, clock.nowMs());
        fleet.heard("q", clock.nowMs(), true, clock.nowMs());
        for (final String name : List.of("a", "b", "c", "edge")) {
            members.add(new NodeInfo(
                    name, name, name, !name.equals("edge"), "d", "r", 1, clock.nowMs(), false, 3, 1, false));
            listings.put(name, new EndpointRegistry(1, 100, 4000, false));
        }
        for (final NodeInfo m : members.subList(0, 3)) {
            probers.put(
                    m.name(),
                    new HealthChecker(
                            m,
                            listings.get(m.name()),
                            reach(m.name()),
                            (to, message) -> {
                                final DiscoveryMessage.Push push = (DiscoveryMessage.Push) message;
                                heard.merge(to, 1, Integer::sum);
                                listings.get(to).merge(push.endpoints(), push.observations());
                                listings.get(to).recordListRead(push.listReadMs());
                            },
                            fleet,
                            new HealthChecker.Timing(500, 100, 2, 2, LIST_MS, 1000, false),
                            () -> members.stream()
                                    .filter(o -> o.core() && o != m)
                                    .toList(),
                            () -> members.stream().filter(o -> o != m).toList()));
        }
    }

    private HealthChecker.Reach reach(final String name) {
        return new HealthChecker.Reach() {
            @Override
            public void list(final long waitMs, final Consumer<List<Endpoint>> done) {
                reads.merge(name, 1, Integer::sum);
                done.accept(List.copyOf(list));
            }

            @Override
            public void probe(final String address, final long waitMs, final Consumer<HealthChecker.Probe> done) {
                throw new AssertionError("nothing is probed");
            }
        };
    }

    private void run(final long spanMs, final String... dead) {
        for (final long untilMs = clock.nowMs() + spanMs; clock.nowMs() < untilMs; clock.advance(100)) {
            probers.forEach((name, p) -> {
                if (!List.of(dead).contains(name)) {
                    p.tick();
                }
            });
        }
    }

    private static Endpoint one(final String instance, final boolean leaving, final long warmUpForMs) {
        return Endpoint.read(instance, "s", "10.0.0.1:80", "d", "r", leaving, warmUpForMs, 0);
    }

    @Test
    void oneCoreReadsForAllAndTheNextTakesItsTurnWhenItIsGone() {
        list.add(one("i1", false, 0));
        run(20_000);
        assertThat(reads).containsOnlyKeys("a");
        assertThat(reads.get("a")).isBetween(18, 21);
        assertThat(heard.get("edge")).as("edges hear changes alone").isEqualTo(1);
        run(20_000, "a");
        assertThat(reads).containsOnlyKeys("a", "b");
        assertThat(reads.get("b")).isBetween(10, 13);
    }

    @Test
    void withoutProbesWhatIsListedAndStaysIsReadyAndWarmsUpAsTheListSays() {
        list.add(one("i1", false, 3000));
        list.add(one("i2", false, -1));
        run(2000);
        final List<Upstream> ready = listings.get("edge").readyUpstreams("s", fleet.nowMs());
        assertThat(ready).hasSize(2);
        assertThat(ready.get(0).warmUpUntilMs()).isBetween(fleet.nowMs(), fleet.nowMs() + 3000);
        assertThat(ready.get(1).warmUpUntilMs()).isZero();
        assertThat(ready.get(1).readySinceMs())
                .as("when it was first listed")
                .isBetween(fleet.nowMs() - 2000, fleet.nowMs());
        list.set(0, one("i1", true, 0));
        run(1100);
        assertThat(listings.get("edge").readyUpstreams("s", fleet.nowMs()))
                .extracting(Upstream::instance)
                .containsExactly("i2");
        assertThat(listings.get("edge").health("i1", fleet.nowMs()).status()).isEqualTo(HealthStatus.LEAVING);
        list.clear();
        run(1100);
        assertThat(listings.get("edge").readyUpstreams("s", fleet.nowMs())).isEmpty();
    }

    @Test
    void whoListsAnewWhatOthersKnowDoesNotMakeItNew() {
        list.add(one("i1", false, -1));
        run(2000);
        final long since =
                listings.get("edge").readyUpstreams("s", fleet.nowMs()).get(0).readySinceMs();
        final Endpoint again = one("i1", false, -1).at(true, fleet.nowMs(), 0, fleet.nowMs());
        listings.get("edge").merge(List.of(again), List.of());
        assertThat(listings.get("edge")
                        .readyUpstreams("s", fleet.nowMs())
                        .get(0)
                        .readySinceMs())
                .isEqualTo(since);
        final EndpointRegistry fresh = new EndpointRegistry(2, 100, 4000, false);
        fresh.merge(List.of(again), List.of());
        fresh.merge(listings.get("a").endpoints(), List.of());
        assertThat(fresh.readyUpstreams("s", fleet.nowMs()).get(0).readySinceMs())
                .isEqualTo(since);
    }
}
