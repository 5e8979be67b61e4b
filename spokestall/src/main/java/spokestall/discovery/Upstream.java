package spokestall.discovery;

/**
 * An instance that can receive requests. Times are on the fleet's clock.
 *
 * @param instance the instance's id
 * @param service the service of the instance
 * @param address the IP and port where the instance accepts requests
 * @param zone the instance's zone
 * @param region the instance's region
 * @param readySinceMs when the instance became ready, as far as known
 * @param slots how many requests the instance processes concurrently, zero if unknown
 * @param warmUpUntilMs when the instance's warm-up ends, zero if only {@code readySinceMs} is known
 */
public record Upstream(
        String instance,
        String service,
        String address,
        String zone,
        String region,
        long readySinceMs,
        int slots,
        long warmUpUntilMs) {
    /** Returns this upstream with the given start of readiness. */
    Upstream withReadySince(final long sinceMs) {
        return new Upstream(instance, service, address, zone, region, sinceMs, slots, warmUpUntilMs);
    }
}
