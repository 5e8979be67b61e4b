package spokestall.configuration;

/**
 * A service's limits, and the slow start of its new upstreams.
 *
 * @param name the service's name
 * @param requestMaxBytes the maximum size of a request's body, in bytes
 * @param responseMaxBytes the maximum size of a response's body, in bytes
 * @param attemptTimeoutMs the timeout of one attempt, in milliseconds
 * @param slowStartMs the duration of an upstream's slow start after it becomes ready, in milliseconds
 * @param slowStartPerSecond the rate of requests per second that an upstream may be sent at the end of its slow start
 */
public record ServiceLimits(
        String name,
        int requestMaxBytes,
        int responseMaxBytes,
        long attemptTimeoutMs,
        long slowStartMs,
        double slowStartPerSecond) {}
