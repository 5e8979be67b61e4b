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
     * costs to leave the zone, and the region, is a part of a slot's work. */
    public record Timing(
            IntSupplier edges,
            double warmRatio,
            double warmSlack,
            long ejectMs,
            long ejectMaxMs,
            double zoneCost,
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
    private final String zone;
    private final Function<String, List<Upstream>> ready;
    private final Clock clock;
    private final FleetClock fleet;
    private final Random random;
    private Timing timing;
    private final Map<String, AdaptiveLimit> limits = new HashMap<>();
    private final Map<String, Integer> reserved = new HashMap<>();
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Ejected> ejected = new HashMap<>();
    private final Map<String, Integer> losses = new HashMap<>();
    private final Map<String, SlowStart> slowStart = new HashMap<>();
    private final Map<String, Long> warmUpUntilMs = new HashMap<>();
    private final LatencyTracker latencyTracker = new LatencyTracker();

    /** Example: see {@code Node}. */
    public LoadBalancer(
            final String region,
            final String zone,
            final Function<String, List<Upstream>> ready,
            final Clock clock,
            final FleetClock fleet,
            final Random random,
            final Timing timing) {
        this.region = region;
        this.zone = zone;
        this.ready = ready;
        this.clock = clock;
        this.fleet = fleet;
        this.random = random;
        this.timing = timing;
    }

    /** Keeps to other bounds from now on. */
    public void timing(final Timing newer) {
        timing = newer;
    }

    /** The upstream for a go, or null when none may take it. */
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
        final double quick = Math.max(QUICK_LEAST, Math.min(QUICK_MOST, latencyTracker.of(rule.name(), u.instance())));
        final double queue = (open + 1.0) / Math.max(1, u.slots()) * quick;
        return queue
                + (u.region().equals(region) ? u.zone().equals(zone) ? 0 : timing.zoneCost() : timing.regionCost());
    }

    private int room(final Upstream u) {
        final AdaptiveLimit limit = limits.get(u.instance());
        return limit == null ? AdaptiveLimit.FIRST : limit.room();
    }

    /** Whether upstreams have room for one more go of the tenant: more than is kept for others already, and than the
     * tenant has. */
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
     * given back by {@link #release}, and the ask itself by {@link #over}. */
    public void keep(final ServiceLimits rule, final String tenant) {
        reserved.merge(rule.name(), 1, Integer::sum);
        held.merge(tenant + " " + rule.name(), 1, Integer::sum);
    }

    /** One of the tenant's asks is over. */
    public void over(final ServiceLimits rule, final String tenant) {
        less(held, tenant + " " + rule.name());
    }

    private static void less(final Map<String, Integer> counts, final String of) {
        counts.merge(of, -1, (had, one) -> had + one <= 0 ? null : had + one);
    }

    /** The ask goes now, or never. */
    public void release(final ServiceLimits rule) {
        less(reserved, rule.name());
    }

    private boolean ejected(final String instance, final long nowMs) {
        final Ejected e = ejected.get(instance);
        return e != null && nowMs < e.untilMs;
    }

    /** From now on these may be cold for so long, whatever is known of them otherwise: their zone is given back, say. */
    public void chill(final Iterable<String> instances, final long spanMs) {
        instances.forEach(i -> warmUpUntilMs.merge(i, clock.nowMs() + spanMs, Math::max));
    }

    private boolean warmEnough(final ServiceLimits rule, final Upstream u) {
        final long nowMs = fleet.nowMs();
        final long ageMs = Math.max(
                0, u.warmUpUntilMs() > 0 ? rule.slowStartMs() - (u.warmUpUntilMs() - nowMs) : nowMs - u.readySinceMs());
        final Long chilled = warmUpUntilMs.get(u.instance());
        final boolean warmingUp = chilled != null && clock.nowMs() < chilled;
        if (ageMs >= rule.slowStartMs() && !warmingUp) {
            slowStart.remove(u.instance());
            warmUpUntilMs.remove(u.instance());
            return true;
        }
        final double ramp = timing.warmSlack() > 0 ? 1 : warmingUp ? 0.5 : (double) ageMs / rule.slowStartMs();
        final double perS = (timing.warmRatio() * rule.slowStartPerSecond() * ramp + timing.warmSlack())
                / timing.edges().getAsInt();
        return slowStart
                .computeIfAbsent(u.instance(), i -> new SlowStart(clock.nowMs()))
                .spend(clock.nowMs(), perS, 1);
    }

    /** A go to it has begun. */
    public void begun(final String instance) {
        limits.computeIfAbsent(instance, i -> new AdaptiveLimit()).begun();
    }

    /** A go to it has ended after so long; slow is what should be the most. */
    public void ended(
            final String service, final String instance, final End how, final long spentMs, final long slowMs) {
        limits.get(instance).ended(how == End.WELL || how == End.DENIED, spentMs, slowMs, clock.nowMs());
        if (how == End.WELL) {
            latencyTracker.took(service, instance, spentMs);
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

    /** One is silent for longer than it should be; two such in a row, or one and a lost answer, and it is put aside. */
    public void late(final String instance) {
        if (losses.merge(instance, 1, Integer::sum) >= 2) {
            aside(instance, End.LOST);
        }
    }

    private void aside(final String instance, final End how) {
        final Ejected had = ejected.get(instance);
        final int times = had == null ? 1 : Math.min(had.times + 1, 8);
        final long spanMs = how == End.DENIED
                ? timing.ejectMs() / 4
                : Math.min(timing.ejectMaxMs(), timing.ejectMs() << (times - 1));
        ejected.put(instance, new Ejected(clock.nowMs() + spanMs, times));
    }

    /** Forgets upstreams that are gone. */
    public void retain(final Set<String> known) {
        ejected.keySet().retainAll(known);
        losses.keySet().retainAll(known);
        slowStart.keySet().retainAll(known);
        warmUpUntilMs.keySet().retainAll(known);
        latencyTracker.retain(known);
        limits.entrySet()
                .removeIf(e -> !known.contains(e.getKey()) && e.getValue().idle());
    }
}
