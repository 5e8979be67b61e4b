package spokestall.testbed.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import spokestall.discovery.ListedEndpoint;
import spokestall.discovery.ProbeResult;
import spokestall.testbed.Deployment;

/** The platform's list and what upstreams say of themselves. Changed by the world only, read by all lanes. */
final class ScaleEnvironment {
    private static final long WARM_MS = 60_000;
    private final SteppedTime steps;
    private final List<ListedEndpoint> listed = new ArrayList<>();
    private final Map<String, ListedEndpoint> byAddress = new HashMap<>();
    private final Map<String, Long> readyMs = new HashMap<>();
    private List<ListedEndpoint> list;
    private int made;

    ScaleEnvironment(final SteppedTime steps, final List<Deployment.Place> places) {
        this.steps = steps;
        places.forEach(p -> listed.add(add(p.instance(), p.service(), p.zone(), p.region(), -WARM_MS)));
        list = List.copyOf(listed);
    }

    private ListedEndpoint add(
            final String instance, final String service, final String zone, final String region, final long readyAtMs) {
        final int i = made++;
        final ListedEndpoint up = new ListedEndpoint(
                instance, service, "10.1." + i / 200 + "." + (i % 200 + 1) + ":80", zone, region, false, -1, 0);
        byAddress.put(up.address(), up);
        readyMs.put(up.instance(), readyAtMs);
        return up;
    }

    List<ListedEndpoint> list() {
        return list;
    }

    Optional<ProbeResult> probe(final String address) {
        final ListedEndpoint up = byAddress.get(address);
        return Optional.ofNullable(up)
                .map(u -> new ProbeResult(u.instance(), u.service(), false, steps.nowMs() - readyMs.get(u.instance())));
    }

    /** One upstream goes, and another comes in its place. */
    void replace(final int i) {
        final ListedEndpoint old = listed.get(i % listed.size());
        byAddress.remove(old.address());
        listed.set(
                i % listed.size(),
                add(old.service() + "-r" + made, old.service(), old.zone(), old.region(), steps.nowMs()));
        list = List.copyOf(listed);
    }
}
