package spokestall.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Limits this edge's attempts to upstreams in slow start, so that all edges together stay within the upstream's bound in any
 * second. The bound is a whole number of permits per window, and each edge gets a whole number of them
 * ({@link EdgeShares#share}). An edge without a permit sends nothing to that upstream. With fractions of a permit the bound
 * would hold only on average: several edges could each accumulate a whole permit and use it at the same moment.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class SlowStartLimiter {
    /** Fraction of the full rate after a restarted slow start, when the instance's age doesn't show how warm it is. */
    private static final double RESTARTED_RAMP = 0.5;

    private static final long SECOND_MS = 1000;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Clock clock;
    private final FleetClock fleetClock;
    private final Random random;
    private LoadBalancerParameters.SlowStartLimits limits;
    private final Map<String, SlowStartWindow> slowStarts = new HashMap<>();
    /** End of the restarted slow start of instances, regardless of their age, on the monotonic clock. */
    private final Map<String, Long> restartedUntilMs = new HashMap<>();

    /**
     * Creates a limiter without any state of its upstreams.
     *
     * @param clock the monotonic clock for windows
     * @param fleetClock the clock that warm-up times of upstreams refer to
     * @param random the source of the spread of the edges' first attempts
     * @param limits the rate limit of all edges together
     */
    SlowStartLimiter(
            final Clock clock,
            final FleetClock fleetClock,
            final Random random,
            final LoadBalancerParameters.SlowStartLimits limits) {
        this.clock = clock;
        this.fleetClock = fleetClock;
        this.random = random;
        this.limits = limits;
    }

    /** Replaces the limits. */
    void updateLimits(final LoadBalancerParameters.SlowStartLimits newLimits) {
        limits = newLimits;
    }

    /** Restarts slow start for an instance; a restarted slow start that already ends later is not shortened. */
    void restart(final String instance, final long durationMs) {
        restartedUntilMs.merge(instance, clock.nowMs() + durationMs, Math::max);
    }

    /** Returns whether an attempt may be sent to the upstream now, and counts it if so. */
    boolean tryAcquire(final ServiceLimits service, final Upstream upstream) {
        final long ageMs = warmUpAgeMs(service, upstream);
        final Long untilMs = restartedUntilMs.get(upstream.instance());
        final boolean restarted = untilMs != null && clock.nowMs() < untilMs;
        if (ageMs >= service.slowStartMs() + limits.clockErrorMs() && !restarted) {
            onWarmedUp(upstream.instance());
            return true;
        }
        final double ratePerS = limits.rampRatio() * service.slowStartPerSecond() * ramp(service, ageMs, restarted)
                + limits.slackPerS();
        final int permits = limits.shares().share(permits(ratePerS), upstream.instance(), upstream.region());
        if (permits == 0) {
            return false;
        }
        final long windowMs = windowMs(ratePerS);
        return slowStart(upstream, ratePerS, windowMs).tryAcquire(clock.nowMs(), permits, windowMs);
    }

    /** Returns the number of attempts that all edges together may send in a window. */
    private static int permits(final double ratePerS) {
        return ratePerS <= 0 ? 0 : (int) Math.max(1, ratePerS);
    }

    /**
     * Returns the window length: one second, or longer for a rate below one attempt per second, plus a margin for the variation
     * of the time from this decision to the attempt's arrival. The clock error, a round trip, also serves as this margin.
     */
    private long windowMs(final double ratePerS) {
        return (long) Math.ceil(SECOND_MS / Math.min(1, ratePerS)) + limits.clockErrorMs();
    }

    private SlowStartWindow slowStart(final Upstream upstream, final double ratePerS, final long windowMs) {
        final SlowStartWindow known = slowStarts.get(upstream.instance());
        if (known != null) {
            return known;
        }
        // All edges learn of a new upstream at the same time; a random delay spreads their first attempts over one
        // second.
        final SlowStartWindow created = new SlowStartWindow(clock.nowMs() + random.nextLong(SECOND_MS));
        slowStarts.put(upstream.instance(), created);
        LOG.atInfo().log(
                "event=slow_start_began instance=%s ratePerS=%.2f windowMs=%s edges=%s rank=%s",
                upstream.instance(),
                ratePerS,
                windowMs,
                limits.shares().edges(),
                limits.shares().rank(upstream.instance(), upstream.region()));
        return created;
    }

    private void onWarmedUp(final String instance) {
        final SlowStartWindow ended = slowStarts.remove(instance);
        restartedUntilMs.remove(instance);
        if (ended != null) {
            LOG.atInfo().log("event=slow_start_ended instance=%s attempts=%s", instance, ended.attempts());
        }
    }

    /** Returns the elapsed time of the warm-up, from its end if that is known, else from when the upstream became ready. */
    private long warmUpAgeMs(final ServiceLimits service, final Upstream upstream) {
        final long nowMs = fleetClock.nowMs();
        return Math.max(
                0,
                upstream.warmUpUntilMs() > 0
                        ? service.slowStartMs() - (upstream.warmUpUntilMs() - nowMs)
                        : nowMs - upstream.readySinceMs());
    }

    /** Returns the fraction of the service's full rate at an age; with slack configured it is always 1. */
    private double ramp(final ServiceLimits service, final long ageMs, final boolean restarted) {
        if (limits.slackPerS() > 0) {
            return 1;
        }
        return restarted ? RESTARTED_RAMP : Math.min(1, (double) ageMs / service.slowStartMs());
    }

    /** Removes the state of all other instances. */
    void retain(final Set<String> instances) {
        slowStarts.keySet().retainAll(instances);
        restartedUntilMs.keySet().retainAll(instances);
    }
}
