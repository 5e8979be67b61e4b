package spokestall.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spokestall.listing.Listed;
import spokestall.listing.Prober;

/** The platform's list and what upstreams say of themselves. Changed by the world only, read by all lanes. */
final class ScaleOutside {
    private static final long WARM_MS = 60_000;
    private final Steps steps;
    private final List<Listed> listed = new ArrayList<>();
    private final Map<String, Listed> byAddress = new HashMap<>();
    private final Map<String, Long> readyMs = new HashMap<>();
    private List<Listed> list;
    private int made;

    ScaleOutside(final Steps steps, final List<Deployment.Place> places) {
        this.steps = steps;
        places.forEach(p -> listed.add(add(p.instance(), p.service(), p.district(), p.region(), -WARM_MS)));
        list = List.copyOf(listed);
    }

    private Listed add(
            final String instance,
            final String service,
            final String district,
            final String region,
            final long readyAtMs) {
        final int i = made++;
        final Listed up = Listed.read(
                instance, service, "10.1." + i / 200 + "." + (i % 200 + 1) + ":80", district, region, false, -1, 0);
        byAddress.put(up.address(), up);
        readyMs.put(up.instance(), readyAtMs);
        return up;
    }

    List<Listed> list() {
        return list;
    }

    Prober.Probe probe(final String address) {
        final Listed up = byAddress.get(address);
        return up == null
                ? null
                : new Prober.Probe(up.instance(), up.service(), false, steps.nowMs() - readyMs.get(up.instance()));
    }

    /** One upstream goes, and another comes in its place. */
    void replace(final int i) {
        final Listed old = listed.get(i % listed.size());
        byAddress.remove(old.address());
        listed.set(
                i % listed.size(),
                add(old.service() + "-r" + made, old.service(), old.district(), old.region(), steps.nowMs()));
        list = List.copyOf(listed);
    }
}
