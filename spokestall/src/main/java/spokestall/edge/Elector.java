package spokestall.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import spokestall.listing.Upstream;
import spokestall.policy.ServiceRule;
import spokestall.policy.Tenant;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/** Elects the upstream of each go: nearer regions first, two random ones compared by demand in flight. */
public final class Elector {
    /** Bounds, from the settings. */
    public record Pace(int edges, double warmRatio, double warmBurst, long ejectMs, long ejectMaxMs) {
    }

    private record Ejected(long untilMs, int times) {
    }

    private final String region;
    private final Function<String, List<Upstream>> ready;
    private final Clock clock;
    private final FleetClock fleet;
    private final Random random;
    private final Pace pace;
    private final Map<String, Limit> limits = new HashMap<>();
    private final Map<String, Integer> reserved = new HashMap<>();
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Ejected> ejected = new HashMap<>();
    private final Map<String, Warmth> warmth = new HashMap<>();

    /** Example: see {@code Node}. */
    public Elector(final String region, final Function<String, List<Upstream>> ready, final Clock clock,
            final FleetClock fleet, final Random random, final Pace pace) {
        this.region = region;
        this.ready = ready;
        this.clock = clock;
        this.fleet = fleet;
        this.random = random;
        this.pace = pace;
    }

    /** The upstream for a go, or null when none may take it.
     * Example: {@code elector.elect(rule, tenant.homeRegions(), policy.holds(), Set.of())} */
    public Upstream elect(final ServiceRule rule, final Set<String> homeRegions, final Set<String> holds,
            final Set<String> tried) {
        final List<Upstream> near = new ArrayList<>();
        final List<Upstream> far = new ArrayList<>();
        for (final Upstream u : ready.apply(rule.name())) {
            if (homeRegions.contains(u.region()) && !holds.contains(u.district()) && !tried.contains(u.instance())) {
                (u.region().equals(region) ? near : far).add(u);
            }
        }
        Upstream found = pick(rule, near, false);
        found = found != null ? found : pick(rule, far, false);
        found = found != null ? found : pick(rule, near, true);
        return found != null ? found : pick(rule, far, true);
    }

    private Upstream pick(final ServiceRule rule, final List<Upstream> among, final boolean alsoEjected) {
        final long nowMs = clock.nowMs();
        final List<Upstream> left = new ArrayList<>(among);
        left.removeIf(u -> ejected(u.instance(), nowMs) != alsoEjected);
        while (!left.isEmpty()) {
            final Upstream one = left.get(random.nextInt(left.size()));
            final Upstream two = left.get(random.nextInt(left.size()));
            final Upstream best = demand(two) < demand(one) ? two : one;
            if (room(best) > 0 && warmEnough(rule, best)) {
                return best;
            }
            left.remove(best);
        }
        return null;
    }

    private int demand(final Upstream u) {
        final Limit limit = limits.get(u.instance());
        return limit == null ? 0 : limit.open();
    }

    private int room(final Upstream u) {
        final Limit limit = limits.get(u.instance());
        return limit == null ? Limit.FIRST : limit.room();
    }

    /** Whether upstreams have room for one more go of the tenant: more than is kept for others already, and than the
     * tenant has. Example: {@code if (!elector.mayReserve(rule, tenant, policy.holds())) deny();} */
    public boolean mayReserve(final ServiceRule rule, final Tenant tenant, final Set<String> holds) {
        int room = -reserved.getOrDefault(rule.name(), 0);
        for (final Upstream u : ready.apply(rule.name())) {
            if (tenant.homeRegions().contains(u.region()) && !holds.contains(u.district())) {
                room += room(u);
            }
        }
        return room > held.getOrDefault(tenant.name() + " " + rule.name(), 0);
    }

    /** Keeps the room that {@link #mayReserve} found in the same event, so that the ask finds it once it is claimed. It is
     * given back by {@link #release}, and the ask itself by {@link #over}. Example: {@code elector.keep(rule, tenant);} */
    public void keep(final ServiceRule rule, final Tenant tenant) {
        reserved.merge(rule.name(), 1, Integer::sum);
        held.merge(tenant.name() + " " + rule.name(), 1, Integer::sum);
    }

    /** One of the tenant's asks is over. Example: {@code elector.over(rule, tenant);} */
    public void over(final ServiceRule rule, final Tenant tenant) {
        less(held, tenant.name() + " " + rule.name());
    }

    private static void less(final Map<String, Integer> counts, final String of) {
        counts.merge(of, -1, (had, one) -> had + one <= 0 ? null : had + one);
    }

    /** The ask goes now, or never. Example: {@code elector.release(rule);} */
    public void release(final ServiceRule rule) {
        less(reserved, rule.name());
    }

    private boolean ejected(final String instance, final long nowMs) {
        final Ejected e = ejected.get(instance);
        return e != null && nowMs < e.untilMs;
    }

    private boolean warmEnough(final ServiceRule rule, final Upstream u) {
        final long nowMs = fleet.nowMs();
        final long ageMs = Math.max(0, u.coldUntilMs() > 0 ? rule.warmupMs() - (u.coldUntilMs() - nowMs)
                : nowMs - u.readySinceMs());
        if (ageMs >= rule.warmupMs()) {
            warmth.remove(u.instance());
            return true;
        }
        final double perS = pace.warmRatio() * rule.warmPerS() * ageMs / rule.warmupMs() / pace.edges();
        return warmth.computeIfAbsent(u.instance(), i -> new Warmth(clock.nowMs())).spend(clock.nowMs(), perS,
                pace.warmBurst());
    }

    /** A go to it has begun. Example: {@code elector.begun(upstream.instance());} */
    public void begun(final String instance) {
        limits.computeIfAbsent(instance, i -> new Limit()).begun();
    }

    /** A go to it has ended, well or in trouble, after so long; slow is what should be the most.
     * Example: {@code elector.ended(upstream.instance(), false, 12, rule.goMs() / 2);} */
    public void ended(final String instance, final boolean trouble, final long spentMs, final long slowMs) {
        limits.get(instance).ended(!trouble, spentMs, slowMs, clock.nowMs());
        if (!trouble) {
            ejected.remove(instance);
            return;
        }
        final Ejected had = ejected.get(instance);
        final int times = had == null ? 1 : Math.min(had.times + 1, 8);
        final long spanMs = Math.min(pace.ejectMaxMs(), pace.ejectMs() << (times - 1));
        ejected.put(instance, new Ejected(clock.nowMs() + spanMs, times));
    }

    /** Forgets upstreams that are gone. Example: {@code elector.retain(known);} */
    public void retain(final Set<String> known) {
        ejected.keySet().retainAll(known);
        warmth.keySet().retainAll(known);
        limits.entrySet().removeIf(e -> !known.contains(e.getKey()) && e.getValue().idle());
    }
}
