package spokestall.configuration;

import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * The services to which requests for a path are sent, and the conditions for it.
 *
 * @param name the route's name
 * @param host the host that the route matches, or empty for any host
 * @param path the path that the route matches; a path that ends with a slash matches all paths that start with it, any other
 *     matches itself and all paths below it
 * @param split the services that the route sends requests to, with their weights; never empty
 * @param runOnce whether the route's requests are not idempotent and must never be executed twice
 * @param attemptsMax the maximum number of attempts of a request, 0 for no limit specific to the route
 * @param timeoutMillis the maximum duration of a request in milliseconds, 0 for no limit specific to the route
 * @param latencyTargetMs the target latency (SLO) of responses in milliseconds, 0 for none
 * @param priority the priority of the route's requests unless the tenant has its own; 0 is the highest
 * @param anonymous whether requests don't need a tenant's key
 * @param regions the regions in which the route's requests may be served, empty for all regions
 */
public record Route(
        String name,
        String host,
        String path,
        List<Share> split,
        boolean runOnce,
        int attemptsMax,
        long timeoutMillis,
        long latencyTargetMs,
        int priority,
        boolean anonymous,
        Set<String> regions) {
    /** A service and its weight in a split. */
    public record Share(String service, int weight) {}

    private static final int UNBOUNDED = 0;
    private static final int NO_TARGET = 0;
    private static final int HIGHEST_PRIORITY = 0;

    /** Creates a tenant's own route to a single service, without limits. */
    public static Route of(final String name, final String path, final String service, final boolean runOnce) {
        final boolean anonymous = false;
        return new Route(
                name,
                "",
                path,
                List.of(new Share(service, 1)),
                runOnce,
                UNBOUNDED,
                UNBOUNDED,
                NO_TARGET,
                HIGHEST_PRIORITY,
                anonymous,
                Set.of());
    }

    /** Picks a service at random according to the weights. A route with a single service uses no random number. */
    public String pickService(final Random random) {
        if (split.size() == 1) {
            return split.get(0).service();
        }
        int total = 0;
        for (final Share share : split) {
            total += share.weight();
        }
        int remaining = total <= 0 ? 0 : random.nextInt(total);
        for (final Share share : split) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return split.get(split.size() - 1).service();
    }

    /** Returns whether the route can send requests to a service. */
    public boolean sendsTo(final String service) {
        for (final Share share : split) {
            if (share.service().equals(service) && (share.weight() > 0 || split.size() == 1)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a request may be served in a region. Both the route and the tenant must allow the region.
     *
     * @param tenant the request's tenant, or null
     */
    public boolean allowsRegion(final Tenant tenant, final String region) {
        return (regions.isEmpty() || regions.contains(region))
                && (tenant == null
                        || tenant.homeRegions().isEmpty()
                        || tenant.homeRegions().contains(region));
    }
}
