package spokestall.discovery;

/**
 * An instance as an entry of the platform's list.
 *
 * @param instance the instance's id
 * @param service the service of the instance
 * @param address the IP and port where the instance accepts requests
 * @param zone the instance's zone
 * @param region the instance's region, empty if unknown
 * @param leaving whether the instance is shutting down
 * @param warmUpRemainingMs the remaining duration of the instance's warm-up, negative if the platform doesn't report it
 * @param slots how many requests the instance processes concurrently, zero if the platform doesn't report it
 */
public record ListedEndpoint(
        String instance,
        String service,
        String address,
        String zone,
        String region,
        boolean leaving,
        long warmUpRemainingMs,
        int slots) {
    /**
     * Returns the registry's entry for this instance. The remaining warm-up counts from the arrival of the response, because the
     * platform may have computed it as late as that.
     *
     * @param requestedMs when the list was requested, on the fleet's clock
     * @param respondedMs when the response arrived, on the fleet's clock
     */
    Endpoint toEndpoint(final long requestedMs, final long respondedMs) {
        return new Endpoint(
                instance,
                service,
                address,
                zone,
                region,
                true,
                leaving,
                requestedMs,
                warmUpUntilMs(requestedMs, respondedMs),
                requestedMs,
                slots);
    }

    private long warmUpUntilMs(final long requestedMs, final long respondedMs) {
        if (warmUpRemainingMs < 0) {
            return 0;
        }
        return warmUpRemainingMs == 0 ? requestedMs : respondedMs + warmUpRemainingMs;
    }
}
