package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** How quick each upstream is beside the others of its service: a moving mean of its answers' time over theirs. */
final class LatencyTracker {
    private static final double SHARE = 0.1;
    private final Map<String, Double> services = new HashMap<>();
    private final Map<String, Double> instances = new HashMap<>();

    void took(final String service, final String instance, final long spentMs) {
        final double ms = Math.max(1, spentMs);
        move(services, service, ms);
        move(instances, instance, ms / services.get(service));
    }

    private static void move(final Map<String, Double> means, final String of, final double value) {
        means.merge(of, value, (mean, v) -> mean + SHARE * (v - mean));
    }

    /** One while nothing is known; two is half as quick as the others. */
    double of(final String service, final String instance) {
        return instances.getOrDefault(instance, 1.0);
    }

    void retain(final Set<String> known) {
        instances.keySet().retainAll(known);
    }
}
