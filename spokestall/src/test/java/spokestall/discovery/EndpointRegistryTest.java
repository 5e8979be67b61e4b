package spokestall.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final long NOW_MS = 10_000;
    private final EndpointRegistry unprobed = new EndpointRegistry(1, 64, 1000, HealthSource.PLATFORM_LIST);
    private final EndpointRegistry probed = new EndpointRegistry(1, 64, 1000, HealthSource.PROBES);

    private static Endpoint endpoint(
            final String instance, final String service, final boolean present, final boolean leaving, final long ms) {
        return new Endpoint(instance, service, "10.0.0.1:80", "d1", "r1", present, leaving, ms, 0, 0, 2);
    }

    private static List<String> ready(final EndpointRegistry registry, final String service) {
        return registry.readyUpstreams(service, NOW_MS).stream()
                .map(Upstream::instance)
                .toList();
    }

    @Test
    void readyUpstreamsReflectEachListChange() {
        unprobed.merge(List.of(endpoint("b", "s", true, false, 1), endpoint("a", "s", true, false, 1)), List.of());
        unprobed.merge(List.of(endpoint("c", "t", true, false, 1)), List.of());
        assertThat(ready(unprobed, "s")).containsExactly("a", "b");
        unprobed.merge(List.of(endpoint("d", "s", true, false, 2)), List.of());
        assertThat(ready(unprobed, "s")).containsExactly("a", "b", "d");
        unprobed.merge(List.of(endpoint("a", "s", true, true, 3)), List.of());
        assertThat(ready(unprobed, "s")).as("instance a is leaving").containsExactly("b", "d");
        unprobed.merge(List.of(endpoint("b", "s", false, false, 3)), List.of());
        assertThat(ready(unprobed, "s")).as("instance b is no longer listed").containsExactly("d");
        unprobed.merge(List.of(endpoint("d", "t", true, false, 4)), List.of());
        assertThat(ready(unprobed, "s"))
                .as("instance d moved to another service")
                .isEmpty();
        assertThat(ready(unprobed, "t")).containsExactly("c", "d");
        unprobed.prune(NOW_MS);
        assertThat(ready(unprobed, "t")).containsExactly("c", "d");
    }

    @Test
    void keepsTheEarliestFirstListingTime() {
        unprobed.merge(List.of(endpoint("a", "s", true, false, 5)), List.of());
        assertThat(unprobed.readyUpstreams("s", NOW_MS).get(0).readySinceMs()).isEqualTo(5);
        unprobed.merge(List.of(endpoint("a", "s", true, false, 2)), List.of());
        assertThat(unprobed.readyUpstreams("s", NOW_MS).get(0).readySinceMs()).isEqualTo(2);
    }

    @Test
    void probedUpstreamIsReadyOnlyWithAFreshObservation() {
        probed.merge(List.of(endpoint("a", "s", true, false, 1), endpoint("b", "s", true, false, 1)), List.of());
        assertThat(ready(probed, "s")).isEmpty();
        probed.merge(List.of(), List.of(new HealthObservation("a", "core", HealthStatus.READY, 7, NOW_MS)));
        assertThat(ready(probed, "s")).containsExactly("a");
        assertThat(probed.readyUpstreams("s", NOW_MS).get(0).readySinceMs()).isEqualTo(7);
        assertThat(probed.readyUpstreams("s", NOW_MS + 1001))
                .as("the observation has expired")
                .isEmpty();
        probed.merge(List.of(), List.of(new HealthObservation("a", "core", HealthStatus.LEAVING, 7, NOW_MS + 1)));
        assertThat(ready(probed, "s")).isEmpty();
    }

    @Test
    void readyUpstreamsAreCachedPerListVersion() {
        for (int n = 0; n < 50; n++) {
            unprobed.merge(List.of(endpoint("i" + n, "s" + n % 5, true, false, 1)), List.of());
        }
        assertThat(unprobed.readyUpstreams("s1", NOW_MS))
                .hasSize(10)
                .isSameAs(unprobed.readyUpstreams("s1", NOW_MS + 5));
    }
}
