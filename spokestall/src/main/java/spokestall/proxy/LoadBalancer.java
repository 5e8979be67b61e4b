package spokestall.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Elects the upstream of each go: the one that would be done soonest, by the goes that are open there over what it works on
 * at a time, by how quick it was, and by how far it is. Where nothing is known of slots, two random ones are compared.
 */
public final class LoadBalancer {
    /** Bounds, from the settings: the edges that a cold upstream's ramp is divided among, the ramp's share that is
     * used and what may come over it each second in the whole fleet, and how long one in trouble is put aside. What it
     * costs to leave the district, and the region, is a part of a slot's work. */
    public record Pace(
            IntSupplier edges,
            double warmRatio,
            double warmSlack,
            long ejectMs,
            long ejectMaxMs,
            double districtCost,
            double regionCost) {}

    /** How a go ended, as far as its upstream is concerned. */
    public enum End {
        WELL,
        DENIED,
        UNREACHED,
        LOST
    }

    private record Ejected(long untilMs, int times) {}

    private static final double QUICK_LEAST = 0.4;
    private static final double QUICK_MOST = 3;
    private final String region;
    private final String district;
    private final Function<String, List<Upstream>> ready;
    private final Clock clock;
    private final FleetClock fleet;
    private final Random random;
    private Pace pace;
    private final Map<String, AdaptiveLimit> limits = new HashMap<>();
    private final Map<String, Integer> reserved = new HashMap<>();
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Ejected> ejected = new HashMap<>();
    private final Map<String, Integer> losses = new HashMap<>();
    private final Map<String, SlowStart> warmth = new HashMap<>();
    private final Map<String, Long> coldUntilMs = new HashMap<>();
    private final LatencyTracker quickness = new LatencyTracker();

    /** Example: see {@code Node}. */
    public LoadBalancer(
            final String region,
            final String district,
            final Function<String, List<Upstream>> ready,
            final Clock clock,
            final FleetClock fleet,
            final Random random,
            final Pace pace) {
        this.region = region;
        this.district = district;
        this.ready = ready;
        this.clock = clock;
        this.fleet = fleet;
        this.random = random;
        this.pace = pace;
    }

    /** Keeps to other bounds from now on. Example: {@code elector.pace(newer);} */
    public void pace(final Pace newer) {
        pace = newer;
    }

    /** The upstream for a go, or null when none may take it.
     * Example: {@code elector.elect(rule, u -> binding.home(tenant, u.region()), Set.of())} */
    public Upstream elect(final ServiceLimits rule, final Predicate<Upstream> fits, final Set<String> tried) {
        final Set<String> passed = new HashSet<>(tried);
        Upstream best = cheapest(rule, fits, passed);
        while (best != null && !warmEnough(rule, best)) {
            passed.add(best.instance());
            best = cheapest(rule, fits, passed);
        }
        return best;
    }

    /** The one of the least cost that has room; one that was put aside only if there is no other. */
    private Upstream cheapest(final ServiceLimits rule, final Predicate<Upstream> fits, final Set<String> passed) {
        final long nowMs = clock.nowMs();
        Upstream best = null;
        boolean bestAside = true;
        double least = Double.MAX_VALUE;
        for (final Upstream u : ready.apply(rule.name())) {
            if (!fits.test(u) || passed.contains(u.instance())) {
                continue;
            }
            final AdaptiveLimit limit = limits.get(u.instance());
            final boolean aside = ejected(u.instance(), nowMs);
            if (aside && !bestAside || limit != null && limit.room() <= 0) {
                continue;
            }
            final double cost = cost(rule, u, limit == null ? 0 : limit.open()) * (0.95 + 0.1 * random.nextDouble());
            if (cost < least || bestAside && !aside) {
                least = cost;
                best = u;
                bestAside = aside;
            }
        }
        return best;
    }

    private double cost(final ServiceLimits rule, final Upstream u, final int open) {
        final double quick = Math.max(QUICK_LEAST, Math.min(QUICK_MOST, quickness.of(rule.name(), u.instance())));
        final double queue = (open + 1.0) / Math.max(1, u.slots()) * quick;
        return queue
                + (u.region().equals(region)
                        ? u.district().equals(district) ? 0 : pace.districtCost()
                        : pace.regionCost());
    }

    private int room(final Upstream u) {
        final AdaptiveLimit limit = limits.get(u.instance());
        return limit == null ? AdaptiveLimit.FIRST : limit.room();
    }

    /** Whether upstreams have room for one more go of the tenant: more than is kept for others already, and than the
     * tenant has. Example: {@code if (!elector.mayReserve(rule, "tenant-1", fits)) deny();} */
    public boolean mayReserve(final ServiceLimits rule, final String tenant, final Predicate<Upstream> fits) {
        final int taken = reserved.getOrDefault(rule.name(), 0) + held.getOrDefault(tenant + " " + rule.name(), 0);
        int room = 0;
        for (final Upstream u : ready.apply(rule.name())) {
            room += fits.test(u) ? room(u) : 0;
            if (room > taken) {
                return true;
            }
        }
        return false;
    }

    /** Keeps the room that {@link #mayReserve} found in the same event, so that the ask finds it once it is claimed. It is
     * given back by {@link #release}, and the ask itself by {@link #over}. Example: {@code elector.keep(rule, "tenant-1");} */
    public void keep(final ServiceLimits rule, final String tenant) {
        reserved.merge(rule.name(), 1, Integer::sum);
        held.merge(tenant + " " + rule.name(), 1, Integer::sum);
    }

    /** One of the tenant's asks is over. Example: {@code elector.over(rule, "tenant-1");} */
    public void over(final ServiceLimits rule, final String tenant) {
        less(held, tenant + " " + rule.name());
    }

    private static void less(final Map<String, Integer> counts, final String of) {
        counts.merge(of, -1, (had, one) -> had + one <= 0 ? null : had + one);
    }

    /** The ask goes now, or never. Example: {@code elector.release(rule);} */
    public void release(final ServiceLimits rule) {
        less(reserved, rule.name());
    }

    private boolean ejected(final String instance, final long nowMs) {
        final Ejected e = ejected.get(instance);
        return e != null && nowMs < e.untilMs;
    }

    /** From now on these may be cold for so long, whatever is known of them otherwise: their district is given back, say.
     * Example: {@code elector.chill(List.of("i-1"), rule.warmupMs());} */
    public void chill(final Iterable<String> instances, final long spanMs) {
        instances.forEach(i -> coldUntilMs.merge(i, clock.nowMs() + spanMs, Math::max));
    }

    private boolean warmEnough(final ServiceLimits rule, final Upstream u) {
        final long nowMs = fleet.nowMs();
        final long ageMs = Math.max(
                0, u.coldUntilMs() > 0 ? rule.warmupMs() - (u.coldUntilMs() - nowMs) : nowMs - u.readySinceMs());
        final Long chilled = coldUntilMs.get(u.instance());
        final boolean cold = chilled != null && clock.nowMs() < chilled;
        if (ageMs >= rule.warmupMs() && !cold) {
            warmth.remove(u.instance());
            coldUntilMs.remove(u.instance());
            return true;
        }
        final double ramp = pace.warmSlack() > 0 ? 1 : cold ? 0.5 : (double) ageMs / rule.warmupMs();
        final double perS = (pace.warmRatio() * rule.warmPerS() * ramp + pace.warmSlack())
                / pace.edges().getAsInt();
        return warmth.computeIfAbsent(u.instance(), i -> new SlowStart(clock.nowMs()))
                .spend(clock.nowMs(), perS, 1);
    }

    /** A go to it has begun. Example: {@code elector.begun(upstream.instance());} */
    public void begun(final String instance) {
        limits.computeIfAbsent(instance, i -> new AdaptiveLimit()).begun();
    }

    /** A go to it has ended after so long; slow is what should be the most.
     * Example: {@code elector.ended(rule.name(), upstream.instance(), End.WELL, 12, rule.goMs() / 2);} */
    public void ended(
            final String service, final String instance, final End how, final long spentMs, final long slowMs) {
        limits.get(instance).ended(how == End.WELL || how == End.DENIED, spentMs, slowMs, clock.nowMs());
        if (how == End.WELL) {
            quickness.took(service, instance, spentMs);
            ejected.remove(instance);
            losses.remove(instance);
            return;
        }
        // One answer that was lost may be chance; two in a row, or a wire that can't be had, are not.
        if (how == End.LOST && losses.merge(instance, 1, Integer::sum) < 2) {
            return;
        }
        aside(instance, how);
    }

    /** One is silent for longer than it should be; two such in a row, or one and a lost answer, and it is put aside.
     * Example: {@code elector.late(upstream.instance());} */
    public void late(final String instance) {
        if (losses.merge(instance, 1, Integer::sum) >= 2) {
            aside(instance, End.LOST);
        }
    }

    private void aside(final String instance, final End how) {
        final Ejected had = ejected.get(instance);
        final int times = had == null ? 1 : Math.min(had.times + 1, 8);
        final long spanMs =
                how == End.DENIED ? pace.ejectMs() / 4 : Math.min(pace.ejectMaxMs(), pace.ejectMs() << (times - 1));
        ejected.put(instance, new Ejected(clock.nowMs() + spanMs, times));
    }

    /** Forgets upstreams that are gone. Example: {@code elector.retain(known);} */
    public void retain(final Set<String> known) {
        ejected.keySet().retainAll(known);
        losses.keySet().retainAll(known);
        warmth.keySet().retainAll(known);
        coldUntilMs.keySet().retainAll(known);
        quickness.retain(known);
        limits.entrySet()
                .removeIf(e -> !known.contains(e.getKey()) && e.getValue().idle());
    }
}
