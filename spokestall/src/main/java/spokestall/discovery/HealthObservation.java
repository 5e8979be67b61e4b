package spokestall.discovery;

/** One core's newest word on an upstream. A cold one says since when it warms up. */
public record HealthObservation(String instance, String by, HealthStatus status, long readySinceMs, long timestampMs) {}
