package spokestall.configuration;

import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Where requests to a path are sent, and under which conditions.
 *
 * @param name the route's name
 * @param host the host that it is for, or empty for any
 * @param path the path that it matches; one that ends with a slash matches only what is below it, any other itself too
 * @param split the services that it sends to, by weight; never empty
 * @param runOnce whether its requests aren't idempotent and so must never be executed twice
 * @param attemptsMax how many attempts a request may have, 0 for no bound of the route's own
 * @param timeoutMillis how long a request may take in milliseconds, 0 for no bound of the route's own
 * @param latencyTargetMs the latency in milliseconds that responses should stay under (SLO), 0 for none
 * @param priority the priority of its requests, 0 the highest, unless the tenant has one
 * @param anonymous whether requests need no tenant's key
 * @param regions the regions in which its requests may be served, empty for all
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
    /** One service's weight in a split. */
    public record Share(String service, int weight) {}

    private static final int UNBOUNDED = 0;
    private static final int NO_TARGET = 0;
    private static final int HIGHEST_PRIORITY = 0;

    /** Creates a tenant's own route, to one service and without bounds. */
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

    /** Picks one of the services with the probability of its weight; a single service takes no random draw. */
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

    /** Returns whether the route may send to a service. */
    public boolean sendsTo(final String service) {
        for (final Share share : split) {
            if (share.service().equals(service) && (share.weight() > 0 || split.size() == 1)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a request may be served in a region. Both the route's and the tenant's regions bind.
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
