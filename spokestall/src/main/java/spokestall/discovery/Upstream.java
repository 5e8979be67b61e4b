package spokestall.discovery;

/**
 * An instance that may be picked for a request. Times are on the fleet's clock.
 *
 * @param instance the instance's id
 * @param service the service that it belongs to
 * @param address IP and port where it takes requests
 * @param zone its zone
 * @param region its region
 * @param readySinceMs since when it has been ready, as far as is known
 * @param slots how many requests it works on at a time, zero if that isn't known
 * @param warmUpUntilMs when its warm-up ends; zero if only {@code readySinceMs} is known
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
    /** Returns the same upstream, ready since then. */
    Upstream withReadySince(final long sinceMs) {
        return new Upstream(instance, service, address, zone, region, sinceMs, slots, warmUpUntilMs);
    }
}
