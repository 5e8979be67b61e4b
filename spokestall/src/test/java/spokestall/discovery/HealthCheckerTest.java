package spokestall.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import spokestall.gossip.NodeInfo;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

/** Tests three cores, one of them in another region, and an edge; probes return the response that the test sets. */
class HealthCheckerTest {
    private static final long REPEAT_MS = 1000;
    private static final long TICK_MS = 500;
    private static final int FAILURE_THRESHOLD = 2;
    private final ManualClock clock = new ManualClock(5_000_000);
    private final FleetClock fleetClock = new FleetClock(clock, 100);
    private final List<NodeInfo> members = List.of(
            member("a", true, "near"), member("b", true, "near"), member("c", true, "far"), member("e", false, "near"));
    private final Map<String, EndpointRegistry> registries = new TreeMap<>();
    private final Map<String, HealthChecker> checkers = new TreeMap<>();
    /** Number of messages by sender and receiver, such as "a>e". */
    private final Map<String, Integer> sent = new TreeMap<>();

    private final Map<String, Integer> probes = new TreeMap<>();
    private Optional<ProbeResult> probeResponse = Optional.of(new ProbeResult("i1", "s", false, 700));
    private boolean respondImmediately = true;
    private final List<Runnable> delayedResponses = new ArrayList<>();

    private static NodeInfo member(final String name, final boolean core, final String region) {
        return new NodeInfo(name, name, name, core, "d", region, 1, 0, false, 3, 1, false);
    }

    @BeforeEach
    void startCores() {
        for (final NodeInfo member : members) {
            final EndpointRegistry registry = new EndpointRegistry(1, 100, 4000, HealthSource.PROBES);
            registry.merge(
                    List.of(new Endpoint("i1", "s", "10.0.0.1:80", "d", "near", true, false, 1, 0, 1, 0)), List.of());
            registries.put(member.name(), registry);
            if (member.core()) {
                checkers.put(member.name(), checker(member, registry));
            }
        }
    }

    private HealthChecker checker(final NodeInfo self, final EndpointRegistry registry) {
        return new HealthChecker(
                self,
                registry,
                client(self.name()),
                peersOf(self),
                (to, message) -> {
                    final DiscoveryMessage.Push push = (DiscoveryMessage.Push) message;
                    sent.merge(self.name() + ">" + to, 1, Integer::sum);
                    registries.get(to).merge(push.endpoints(), push.observations());
                },
                fleetClock,
                new HealthChecker.ProbeParameters(100, FAILURE_THRESHOLD, 2, REPEAT_MS));
    }

    private DiscoveryClient client(final String name) {
        return new DiscoveryClient() {
            @Override
            public void listEndpoints(final long timeoutMillis, final Consumer<Optional<List<ListedEndpoint>>> done) {
                throw new AssertionError("the health checker must not read the list");
            }

            @Override
            public void probe(
                    final String address, final long timeoutMillis, final Consumer<Optional<ProbeResult>> done) {
                assertThat(address).isEqualTo("10.0.0.1:80");
                probes.merge(name, 1, Integer::sum);
                if (respondImmediately) {
                    done.accept(probeResponse);
                } else {
                    delayedResponses.add(() -> done.accept(probeResponse));
                }
            }
        };
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

    private void tick(final int times) {
        for (int i = 0; i < times; i++) {
            clock.advance(TICK_MS);
            checkers.values().forEach(HealthChecker::onTick);
        }
    }

    private Optional<HealthStatus> statusAtEdge() {
        return registries.get("e").health("i1", fleetClock.nowMs()).map(HealthObservation::status);
    }

    @Test
    void instanceIsProbedByTwoCoresOfItsOwnRegionFirst() {
        tick(4);
        assertThat(probes).containsOnly(Map.entry("a", 4), Map.entry("b", 4));
    }

    @Test
    void sendsNoSecondProbeWhileOneIsPending() {
        respondImmediately = false;
        tick(4);
        assertThat(probes).containsOnly(Map.entry("a", 1), Map.entry("b", 1));
    }

    @Test
    void readySinceComesFromTheProbeResponse() {
        tick(1);
        final List<Upstream> ready = registries.get("e").readyUpstreams("s", fleetClock.nowMs());
        assertThat(ready).hasSize(1);
        assertThat(ready.get(0).readySinceMs()).isEqualTo(fleetClock.nowMs() - 700);
    }

    @Test
    void onlyConsecutiveFailuresMarkAnInstanceDown() {
        tick(1);
        probeResponse = Optional.empty();
        tick(FAILURE_THRESHOLD - 1);
        assertThat(statusAtEdge()).contains(HealthStatus.READY);
        probeResponse = Optional.of(new ProbeResult("i1", "s", false, 700));
        tick(1);
        probeResponse = Optional.empty();
        tick(FAILURE_THRESHOLD - 1);
        assertThat(statusAtEdge()).contains(HealthStatus.READY);
        tick(1);
        assertThat(statusAtEdge()).contains(HealthStatus.DOWN);
    }

    @Test
    void otherInstanceOrServiceAtTheAddressIsForeign() {
        probeResponse = Optional.of(new ProbeResult("i2", "s", false, 700));
        tick(1);
        assertThat(statusAtEdge()).contains(HealthStatus.FOREIGN);
        probeResponse = Optional.of(new ProbeResult("i1", "s", true, 700));
        tick(1);
        assertThat(statusAtEdge()).contains(HealthStatus.LEAVING);
        probeResponse = Optional.of(new ProbeResult("i1", "t", true, 700));
        tick(1);
        assertThat(statusAtEdge()).contains(HealthStatus.FOREIGN);
    }

    @Test
    void sendsChangesToAllNodesAndRepeatsToCoresOnly() {
        tick(1);
        assertThat(sent).containsOnlyKeys("a>b", "a>c", "a>e", "b>a", "b>c", "b>e");
        sent.clear();
        // Each probe reports the same start of readiness as the previous one.
        final List<Integer> received = new ArrayList<>();
        for (long readyForMs = 700 + TICK_MS; received.size() < 4; readyForMs += TICK_MS) {
            probeResponse = Optional.of(new ProbeResult("i1", "s", false, readyForMs));
            tick(1);
            received.add(sent.getOrDefault("a>b", 0));
        }
        assertThat(sent).containsOnlyKeys("a>b", "a>c", "b>a", "b>c");
        assertThat(received)
                .as("messages by tick, each observation repeated every two ticks")
                .containsExactly(0, 1, 1, 2);
    }

    private long readySinceAtEdgeMs() {
        return registries
                .get("e")
                .readyUpstreams("s", fleetClock.nowMs())
                .get(0)
                .readySinceMs();
    }

    @Test
    void slowProbeResponseDoesNotMakeReadySinceEarlier() {
        respondImmediately = false;
        tick(1);
        clock.advance(90);
        // The instance computes how long it has been ready when it responds, just before the response arrives.
        final long readySinceMs = fleetClock.nowMs() - 700;
        delayedResponses.forEach(Runnable::run);
        tick(1);
        assertThat(readySinceAtEdgeMs()).isGreaterThanOrEqualTo(readySinceMs);
    }

    @Test
    void restartedInstanceGetsANewReadyTimeEvenAfterAShortOutage() {
        tick(1);
        probeResponse = Optional.of(new ProbeResult("i1", "s", false, 300));
        tick(1);
        assertThat(readySinceAtEdgeMs()).isEqualTo(fleetClock.nowMs() - 300);
    }
}
