package spokestall.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Limits how fast this edge sends to upstreams that are warming up: to its part of a rate that grows with their age.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class SlowStartLimiter {
    /** The part of the ramp that an upstream gets while its age says nothing of how far it has warmed up. */
    private static final double RESTARTED_RAMP = 0.5;
    /** How many attempts may be saved up. */
    private static final double BURST = 1;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final Clock clock;
    private final FleetClock fleetClock;
    private LoadBalancerParameters.SlowStartLimits limits;
    private final Map<String, SlowStart> rates = new HashMap<>();
    /** Until when instances count as warming up whatever their age, on the monotonic clock. */
    private final Map<String, Long> restartedUntilMs = new HashMap<>();

    SlowStartLimiter(
            final Clock clock, final FleetClock fleetClock, final LoadBalancerParameters.SlowStartLimits limits) {
        this.clock = clock;
        this.fleetClock = fleetClock;
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
        final double ownRatePerS = ratePerS / limits.sharingEdges().getAsInt();
        SlowStart rate = rates.get(upstream.instance());
        if (rate == null) {
            rate = new SlowStart(clock.nowMs());
            rates.put(upstream.instance(), rate);
            LOG.atInfo().log(
                    "event=slow_start_began instance=%s remainingMs=%s restarted=%s ratePerS=%.2f sharingEdges=%s",
                    upstream.instance(),
                    service.slowStartMs() - ageMs,
                    restarted,
                    ratePerS,
                    limits.sharingEdges().getAsInt());
        }
        return rate.spend(clock.nowMs(), ownRatePerS, BURST);
    }

    private void onWarmedUp(final String instance) {
        final SlowStart rate = rates.remove(instance);
        restartedUntilMs.remove(instance);
        if (rate != null) {
            LOG.atInfo().log("event=slow_start_ended instance=%s attempts=%s", instance, rate.spent());
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
        rates.keySet().retainAll(instances);
        restartedUntilMs.keySet().retainAll(instances);
    }
}
