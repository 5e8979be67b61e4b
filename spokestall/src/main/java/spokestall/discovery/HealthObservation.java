package spokestall.discovery;

/**
 * The result of a core's last probe of an instance. Immutable. Messages encode it by the order of its components, which must not
 * change. Times are on the fleet's clock.
 *
 * @param instance the instance's id
 * @param core the name of the core that probed the instance, empty if the health comes from the platform's list
 * @param status the instance's status
 * @param readySinceMs when the instance became ready, which is the start of its warm-up; zero if it isn't ready
 * @param timestampMs when the instance was probed; the newest observation of a core wins
 */
public record HealthObservation(
        String instance, String core, HealthStatus status, long readySinceMs, long timestampMs) {}
