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
 * Limits how much this edge sends to upstreams that are warming up, so that all edges together keep to the upstream's bound in any
 * second. The bound is a whole number of permits a window, and each edge gets a whole number of them ({@link EdgeShares#share}); an
 * edge without a permit sends nothing there. Parts of a permit would add up on average only: edges that have each saved up one
 * would all spend it in the same moment.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class SlowStartLimiter {
    /** The part of the ramp that an upstream gets while its age says nothing of how far it has warmed up. */
    private static final double RESTARTED_RAMP = 0.5;

    private static final long SECOND_MS = 1000;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final Clock clock;
    private final FleetClock fleetClock;
    private final Random random;
    private LoadBalancerParameters.SlowStartLimits limits;
    private final Map<String, SlowStartWindow> slowStarts = new HashMap<>();
    /** Until when instances count as warming up whatever their age, on the monotonic clock. */
    private final Map<String, Long> restartedUntilMs = new HashMap<>();

    /**
     * Creates a limiter that knows of no upstream.
     *
     * @param clock measures windows
     * @param fleetClock the clock that a warm-up is given by
     * @param random spreads the edges' first attempts
     * @param limits what all edges together may send
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

    /** Applies other limits from now on. */
    void updateLimits(final LoadBalancerParameters.SlowStartLimits newLimits) {
        limits = newLimits;
    }

    /** Has an instance count as warming up for so long at least. */
    void restart(final String instance, final long durationMs) {
        restartedUntilMs.merge(instance, clock.nowMs() + durationMs, Math::max);
    }

    /** Returns whether an attempt may go to the upstream now, and counts it if so. */
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

    /** How many attempts all edges together may send in a window. */
    private static int permits(final double ratePerS) {
        return ratePerS <= 0 ? 0 : (int) Math.max(1, ratePerS);
    }

    /**
     * A second, or longer for a rate below one a second; and longer by how much the time from decision to arrival may vary, for
     * which the difference of clocks, a round trip, is taken too.
     */
    private long windowMs(final double ratePerS) {
        return (long) Math.ceil(SECOND_MS / Math.min(1, ratePerS)) + limits.clockErrorMs();
    }

    private SlowStartWindow slowStart(final Upstream upstream, final double ratePerS, final long windowMs) {
        final SlowStartWindow known = slowStarts.get(upstream.instance());
        if (known != null) {
            return known;
        }
        // All edges hear of a new upstream at the same time: their first attempts are spread over a window.
        final SlowStartWindow begun = new SlowStartWindow(clock.nowMs() + random.nextLong(SECOND_MS));
        slowStarts.put(upstream.instance(), begun);
        LOG.atInfo().log(
                "event=slow_start_began instance=%s ratePerS=%.2f windowMs=%s edges=%s rank=%s",
                upstream.instance(),
                ratePerS,
                windowMs,
                limits.shares().edges(),
                limits.shares().rank(upstream.instance(), upstream.region()));
        return begun;
    }

    private void onWarmedUp(final String instance) {
        final SlowStartWindow ended = slowStarts.remove(instance);
        restartedUntilMs.remove(instance);
        if (ended != null) {
            LOG.atInfo().log("event=slow_start_ended instance=%s attempts=%s", instance, ended.attempts());
        }
    }

    /** How much of the warm-up has passed, by its end if that is known, else by its beginning. */
    private long warmUpAgeMs(final ServiceLimits service, final Upstream upstream) {
        final long nowMs = fleetClock.nowMs();
        return Math.max(
                0,
                upstream.warmUpUntilMs() > 0
                        ? service.slowStartMs() - (upstream.warmUpUntilMs() - nowMs)
                        : nowMs - upstream.readySinceMs());
    }

    /** The part of the service's full rate at an age; where there is slack the rate doesn't grow with the age. */
    private double ramp(final ServiceLimits service, final long ageMs, final boolean restarted) {
        if (limits.slackPerS() > 0) {
            return 1;
        }
        return restarted ? RESTARTED_RAMP : Math.min(1, (double) ageMs / service.slowStartMs());
    }

    /** Removes what is known of all instances but these. */
    void retain(final Set<String> instances) {
        slowStarts.keySet().retainAll(instances);
        restartedUntilMs.keySet().retainAll(instances);
    }
}
