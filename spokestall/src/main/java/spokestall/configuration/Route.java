package spokestall.configuration;

import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What a path leads to. A run-once route's asks must never run twice. One that ends with a slash leads only to what is
 * below it. Spans and goes that are zero are not bounded by the route; no regions means all of them; an open one needs
 * no key.
 */
public record Route(
        String name,
        String host,
        String path,
        List<Share> split,
        boolean runOnce,
        int attemptsMax,
        long spanMs,
        long aimMs,
        int priority,
        boolean open,
        Set<String> regions) {
    /** One service's weight in a split. */
    public record Share(String service, int weight) {}

    /** A tenant's own route. */
    public static Route of(final String name, final String path, final String service, final boolean runOnce) {
        return new Route(name, "", path, List.of(new Share(service, 1)), runOnce, 0, 0, 0, 0, false, Set.of());
    }

    /** One of the services, each as often as its weight says. */
    public String service(final Random random) {
        if (split.size() == 1) {
            return split.get(0).service();
        }
        int total = 0;
        for (final Share share : split) {
            total += share.weight();
        }
        int at = total <= 0 ? 0 : random.nextInt(total);
        for (final Share share : split) {
            at -= share.weight();
            if (at < 0) {
                return share.service();
            }
        }
        return split.get(split.size() - 1).service();
    }

    /** Whether a service is among those it leads to. */
    public boolean leadsTo(final String service) {
        for (final Share share : split) {
            if (share.service().equals(service) && (share.weight() > 0 || split.size() == 1)) {
                return true;
            }
        }
        return false;
    }

    /** Whether an ask of this tenant (null: of none) may be served in a region; what both say binds. */
    public boolean home(final Tenant tenant, final String region) {
        return (regions.isEmpty() || regions.contains(region))
                && (tenant == null
                        || tenant.homeRegions().isEmpty()
                        || tenant.homeRegions().contains(region));
    }
}
