package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The latency of each upstream relative to the others of its service: a moving mean of its response time over theirs. */
final class LatencyTracker {
    private static final double SMOOTHING_FACTOR = 0.1;
    private final Map<String, Double> services = new HashMap<>();
    private final Map<String, Double> instances = new HashMap<>();

    void onResponse(final String service, final String instance, final long spentMs) {
        final double ms = Math.max(1, spentMs);
        updateMean(services, service, ms);
        updateMean(instances, instance, ms / services.get(service));
    }

    private static void updateMean(final Map<String, Double> means, final String of, final double value) {
        means.merge(of, value, (mean, v) -> mean + SMOOTHING_FACTOR * (v - mean));
    }

    /** Returns the relative latency: one while nothing is known; two means twice as slow as the others. */
    double relativeLatency(final String service, final String instance) {
        return instances.getOrDefault(instance, 1.0);
    }

    void retain(final Set<String> known) {
        instances.keySet().retainAll(known);
    }
}
