package spokestall.discovery;

/**
 * What one core last found when it probed an instance. Immutable; part of numbered messages, so the order of its components
 * must not change. Times are on the fleet's clock.
 *
 * @param instance the instance's id
 * @param core the name of the core that probed it, empty where nothing is probed and the platform's list counts
 * @param status what it was found to be
 * @param readySinceMs since when it has been ready, from which its warm-up is counted; zero if it isn't
 * @param timestampMs when it was probed; the newest observation of a core wins
 */
public record HealthObservation(
        String instance, String core, HealthStatus status, long readySinceMs, long timestampMs) {}
