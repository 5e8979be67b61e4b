package spokestall.configuration;

/**
 * A service's limits, and how its new upstreams are warmed up.
 *
 * @param name the service's name
 * @param requestMaxBytes the size of a request's body
 * @param responseMaxBytes the size of a response's body
 * @param attemptTimeoutMs how long one attempt may take, in milliseconds
 * @param slowStartMs how long after it becomes ready an upstream is warming up, in milliseconds
 * @param slowStartPerSecond requests a second that an upstream may be sent at the end of its slow start
 */
public record ServiceLimits(
        String name,
        int requestMaxBytes,
        int responseMaxBytes,
        long attemptTimeoutMs,
        long slowStartMs,
        double slowStartPerSecond) {}
