package spokestall.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.gossip.NodeInfo;
import spokestall.message.Message;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

/** Tests three cores and an edge with immediate message delivery and a platform list that the test sets. */
class EndpointListReaderTest {
    private static final long LIST_MS = 1000;
    private final ManualClock clock = new ManualClock(5_000_000);
    private final FleetClock fleet = new FleetClock(clock, 100);
    private final Map<String, EndpointRegistry> registries = new TreeMap<>();
    private final Map<String, EndpointListReader> readers = new TreeMap<>();
    private final Map<String, Integer> reads = new TreeMap<>();
    private final Map<String, Integer> received = new TreeMap<>();
    private final List<ListedEndpoint> list = new ArrayList<>();
    private final List<NodeInfo> members = new ArrayList<>();
    /** Responses of the platform that haven't been delivered yet, if the test delays them. */
    private final List<Runnable> delayedResponses = new ArrayList<>();

    private boolean delayResponses;

    EndpointListReaderTest() {
        fleet.onPeerReading("p", clock.nowMs(), true, clock.nowMs());
        fleet.onPeerReading("q", clock.nowMs(), true, clock.nowMs());
        for (final String name : List.of("a", "b", "c", "edge")) {
            members.add(new NodeInfo(
                    name, name, name, !name.equals("edge"), "d", "r", 1, clock.nowMs(), false, 3, 1, false));
            registries.put(name, new EndpointRegistry(1, 100, 4000, HealthSource.PLATFORM_LIST));
        }
        for (final NodeInfo core : members.subList(0, 3)) {
            readers.put(
                    core.name(),
                    new EndpointListReader(
                            core.name(),
                            registries.get(core.name()),
                            client(core.name()),
                            peersOf(core),
                            this::deliver,
                            fleet,
                            new EndpointListReader.Schedule(LIST_MS, 100)));
        }
    }

    private void deliver(final String to, final Message message) {
        final DiscoveryMessage.Push push = (DiscoveryMessage.Push) message;
        received.merge(to, 1, Integer::sum);
        registries.get(to).merge(push.endpoints(), push.observations());
        registries.get(to).recordListRead(push.listReadMs());
    }

    private DiscoveryPeers peersOf(final NodeInfo self) {
        return new DiscoveryPeers() {
            @Override
            public List<NodeInfo> otherCores() {
                return members.stream().filter(m -> m.core() && m != self).toList();
            }

            @Override
            public List<NodeInfo> otherNodes() {
                return members.stream().filter(m -> m != self).toList();
            }
        };
    }

    private DiscoveryClient client(final String name) {
        return new DiscoveryClient() {
            @Override
            public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
                reads.merge(name, 1, Integer::sum);
                if (delayResponses) {
                    delayedResponses.add(() -> done.accept(Optional.of(List.copyOf(list))));
                } else {
                    done.accept(Optional.of(List.copyOf(list)));
                }
            }

            @Override
            public void probe(
                    final String address, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
                throw new AssertionError("the list reader must not probe instances");
            }
        };
    }

    private void run(final long spanMs, final String... dead) {
        for (final long untilMs = clock.nowMs() + spanMs; clock.nowMs() < untilMs; clock.advance(100)) {
            readers.forEach((name, reader) -> {
                if (!List.of(dead).contains(name)) {
                    reader.onTick();
                }
            });
        }
    }

    private static ListedEndpoint listed(final String instance, final boolean leaving, final long warmUpForMs) {
        return new ListedEndpoint(instance, "s", "10.0.0.1:80", "d", "r", leaving, warmUpForMs, 0);
    }

    @Test
    void oneCoreReadsTheListAndTheNextTakesOverWhenItIsDown() {
        list.add(listed("i1", false, 0));
        run(20_000);
        assertThat(reads).containsOnlyKeys("a");
        assertThat(reads.get("a")).isBetween(18, 21);
        assertThat(received.get("edge")).as("edges receive changes only").isEqualTo(1);
        run(20_000, "a");
        assertThat(reads).containsOnlyKeys("a", "b");
        assertThat(reads.get("b")).isBetween(10, 13);
    }

    @Test
    void withoutProbesReadinessAndWarmUpComeFromTheList() {
        list.add(listed("i1", false, 3000));
        list.add(listed("i2", false, -1));
        run(2000);
        final List<Upstream> ready = registries.get("edge").readyUpstreams("s", fleet.nowMs());
        assertThat(ready).hasSize(2);
        assertThat(ready.get(0).warmUpUntilMs()).isBetween(fleet.nowMs(), fleet.nowMs() + 3000);
        assertThat(ready.get(1).warmUpUntilMs()).isZero();
        assertThat(ready.get(1).readySinceMs())
                .as("when it was first listed")
                .isBetween(fleet.nowMs() - 2000, fleet.nowMs());
        list.set(0, listed("i1", true, 0));
        run(1100);
        assertThat(registries.get("edge").readyUpstreams("s", fleet.nowMs()))
                .extracting(Upstream::instance)
                .containsExactly("i2");
        assertThat(registries.get("edge").health("i1", fleet.nowMs()).map(HealthObservation::status))
                .contains(HealthStatus.LEAVING);
        list.clear();
        run(1100);
        assertThat(registries.get("edge").readyUpstreams("s", fleet.nowMs())).isEmpty();
    }

    @Test
    void endpointListedAgainByAnotherCoreKeepsItsFirstListingTime() {
        list.add(listed("i1", false, -1));
        run(2000);
        final long sinceMs =
                registries.get("edge").readyUpstreams("s", fleet.nowMs()).get(0).readySinceMs();
        final Endpoint again = listed("i1", false, -1).toEndpoint(fleet.nowMs(), fleet.nowMs());
        registries.get("edge").merge(List.of(again), List.of());
        assertThat(registries
                        .get("edge")
                        .readyUpstreams("s", fleet.nowMs())
                        .get(0)
                        .readySinceMs())
                .isEqualTo(sinceMs);
        final EndpointRegistry fresh = new EndpointRegistry(2, 100, 4000, HealthSource.PLATFORM_LIST);
        fresh.merge(List.of(again), List.of());
        fresh.merge(registries.get("a").endpoints(), List.of());
        assertThat(fresh.readyUpstreams("s", fleet.nowMs()).get(0).readySinceMs())
                .isEqualTo(sinceMs);
    }

    @Test
    void slowListResponseDoesNotShortenAWarmUp() {
        delayResponses = true;
        run(500);
        assertThat(delayedResponses).isNotEmpty();
        clock.advance(900);
        // The platform computes the remaining warm-up when it responds, just before the response arrives.
        list.add(listed("i1", false, 3000));
        final long warmUpEndMs = fleet.nowMs() + 3000;
        delayedResponses.forEach(Runnable::run);
        assertThat(registries
                        .get("edge")
                        .readyUpstreams("s", fleet.nowMs())
                        .get(0)
                        .warmUpUntilMs())
                .isGreaterThanOrEqualTo(warmUpEndMs);
    }

    private long warmUpUntilAtEdgeMs() {
        return registries.get("edge").readyUpstreams("s", fleet.nowMs()).get(0).warmUpUntilMs();
    }

    @Test
    void restartedWarmUpIsReportedEvenIfItEndsSoon() {
        list.add(listed("i1", false, 0));
        run(3000);
        list.set(0, listed("i1", false, 900));
        run(LIST_MS);
        assertThat(warmUpUntilAtEdgeMs()).isGreaterThan(fleet.nowMs());
    }

    @Test
    void quickListResponseCorrectsAWarmUpEndThatASlowOneOverestimated() {
        delayResponses = true;
        run(500);
        list.add(listed("i1", false, 6000));
        final long warmUpEndMs = fleet.nowMs() + 6000;
        clock.advance(1500);
        delayedResponses.forEach(Runnable::run);
        assertThat(warmUpUntilAtEdgeMs()).isGreaterThan(warmUpEndMs + 1000);
        delayResponses = false;
        list.set(0, listed("i1", false, warmUpEndMs - fleet.nowMs()));
        readers.get("a").onTick();
        assertThat(warmUpUntilAtEdgeMs()).isEqualTo(warmUpEndMs);
    }
}
