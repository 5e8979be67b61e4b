package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Relative latency of upstreams: a moving average of an upstream's response time over the average of its service. */
final class LatencyTracker {
    private static final double SMOOTHING_FACTOR = 0.1;
    private final Map<String, Double> services = new HashMap<>();
    private final Map<String, Double> instances = new HashMap<>();

    void onResponse(final String service, final String instance, final long durationMs) {
        final double ms = Math.max(1, durationMs);
        updateMean(services, service, ms);
        updateMean(instances, instance, ms / services.get(service));
    }

    private static void updateMean(final Map<String, Double> means, final String key, final double value) {
        means.merge(key, value, (mean, v) -> mean + SMOOTHING_FACTOR * (v - mean));
    }

    /** Returns the relative latency: 1 without any response yet; 2 means twice the average response time of the service. */
    double relativeLatency(final String service, final String instance) {
        return instances.getOrDefault(instance, 1.0);
    }

    void retain(final Set<String> known) {
        instances.keySet().retainAll(known);
    }
}
