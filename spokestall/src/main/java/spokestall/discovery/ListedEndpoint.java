package spokestall.discovery;

/**
 * An instance as the platform's list gives it.
 *
 * @param instance the instance's id
 * @param service the service that it belongs to
 * @param address IP and port where it takes requests
 * @param zone its zone
 * @param region its region, empty if it isn't known
 * @param leaving whether it is shutting down
 * @param warmUpRemainingMs how long its warm-up still takes, negative if the platform doesn't say
 * @param slots how many requests it works on at a time, zero if the platform doesn't say
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
     * Returns the registry's entry for it. The rest of the warm-up is counted from the answer: the platform may have reckoned it
     * as late as that.
     *
     * @param requestedMs when the list was requested, on the fleet's clock
     * @param answeredMs when the answer was there
     */
    Endpoint toEndpoint(final long requestedMs, final long answeredMs) {
        return new Endpoint(
                instance,
                service,
                address,
                zone,
                region,
                true,
                leaving,
                requestedMs,
                warmUpUntilMs(requestedMs, answeredMs),
                requestedMs,
                slots);
    }

    private long warmUpUntilMs(final long requestedMs, final long answeredMs) {
        if (warmUpRemainingMs < 0) {
            return 0;
        }
        return warmUpRemainingMs == 0 ? requestedMs : answeredMs + warmUpRemainingMs;
    }
}
