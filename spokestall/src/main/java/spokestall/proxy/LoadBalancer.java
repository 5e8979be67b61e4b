package spokestall.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Picks the upstream with the lowest cost for each attempt. The cost is the number of open attempts per slot, times the
 * upstream's relative latency, plus the distance cost. A small random factor spreads the load over equal upstreams. An ejected
 * upstream is picked only if there is no other, and an upstream in slow start no faster than its ramp allows.
 *
 * <p>Also tracks the capacity that admitted requests will need, so that a request is admitted only if an upstream is likely to
 * have capacity for it.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Counts only this edge's attempts, not those of other edges.
 */
public final class LoadBalancer {
    private record Candidate(Upstream upstream, boolean ejected, double cost) {
        boolean betterThan(final Candidate other) {
            return other == null || other.ejected && !ejected || cost < other.cost;
        }
    }

    // Bounds of the latency factor, so that one slow or fast response doesn't dominate the cost.
    private static final double MIN_LATENCY_FACTOR = 0.4;
    private static final double MAX_LATENCY_FACTOR = 3;
    private static final double MIN_RANDOM_FACTOR = 0.95;
    private static final double RANDOM_FACTOR_RANGE = 0.1;

    private final Locality locality;
    private final UpstreamSource upstreams;
    private final Clock clock;
    private final Random random;
    private LoadBalancerParameters.DistanceCosts distanceCosts;
    private final OutlierEjector ejector;
    private final SlowStartLimiter slowStart;
    private final CapacityReservations reservations = new CapacityReservations();
    private final LatencyTracker latencyTracker = new LatencyTracker();
    /** Concurrency limits and open attempts by instance; an instance without any attempt has no entry. */
    private final Map<String, AdaptiveLimit> concurrencyLimits = new HashMap<>();

    /**
     * Creates a load balancer without any state of its upstreams.
     *
     * @param locality the region and zone of this edge
     * @param upstreams the upstreams to pick from
     * @param clock the monotonic clock for ejections and rates
     * @param fleetClock the clock that warm-up times of upstreams refer to
     * @param random the source of the random cost factor and of the spread of first attempts in slow start
     * @param parameters slow start limits, ejection times and distance costs
     */
    public LoadBalancer(
            final Locality locality,
            final UpstreamSource upstreams,
            final Clock clock,
            final FleetClock fleetClock,
            final Random random,
            final LoadBalancerParameters parameters) {
        this.locality = locality;
        this.upstreams = upstreams;
        this.clock = clock;
        this.random = random;
        this.distanceCosts = parameters.distance();
        this.ejector = new OutlierEjector(parameters.ejection());
        this.slowStart = new SlowStartLimiter(clock, fleetClock, random, parameters.slowStart());
    }

    /** Replaces the parameters. */
    public void updateParameters(final LoadBalancerParameters parameters) {
        distanceCosts = parameters.distance();
        ejector.updateTimes(parameters.ejection());
        slowStart.updateLimits(parameters.slowStart());
    }

    /**
     * Picks the upstream for an attempt. If the upstream is in slow start, the call takes one of its permits, so the caller must
     * make the attempt.
     *
     * @param service the service's limits
     * @param eligible the upstreams that the request may go to
     * @param tried the instances to exclude
     * @return the upstream, or empty if no upstream can take the attempt now
     */
    public Optional<Upstream> pick(
            final ServiceLimits service, final Predicate<Upstream> eligible, final Set<String> tried) {
        final Set<String> excluded = new HashSet<>(tried);
        Optional<Upstream> cheapest = cheapest(service, eligible, excluded);
        while (cheapest.isPresent() && !slowStart.tryAcquire(service, cheapest.get())) {
            excluded.add(cheapest.get().instance());
            cheapest = cheapest(service, eligible, excluded);
        }
        return cheapest;
    }

    private Optional<Upstream> cheapest(
            final ServiceLimits service, final Predicate<Upstream> eligible, final Set<String> excluded) {
        final long nowMs = clock.nowMs();
        Candidate best = null;
        for (final Upstream upstream : upstreams.readyUpstreams(service.name())) {
            if (!eligible.test(upstream) || excluded.contains(upstream.instance()) || freeSlots(upstream) <= 0) {
                continue;
            }
            final boolean ejected = ejector.ejected(upstream.instance(), nowMs);
            if (ejected && best != null && !best.ejected()) {
                continue;
            }
            final Candidate candidate = new Candidate(upstream, ejected, randomised(cost(service, upstream)));
            best = candidate.betterThan(best) ? candidate : best;
        }
        return Optional.ofNullable(best).map(Candidate::upstream);
    }

    private double randomised(final double cost) {
        return cost * (MIN_RANDOM_FACTOR + RANDOM_FACTOR_RANGE * random.nextDouble());
    }

    /** Returns the cost in units of one slot's work: the expected waiting time plus the distance cost. */
    private double cost(final ServiceLimits service, final Upstream upstream) {
        return utilisation(upstream) * latencyFactor(service, upstream) + locality.costTo(upstream, distanceCosts);
    }

    /** Returns the open attempts per slot, including the new attempt; an unknown number of slots counts as one. */
    private double utilisation(final Upstream upstream) {
        final AdaptiveLimit limit = concurrencyLimits.get(upstream.instance());
        final int open = limit == null ? 0 : limit.open();
        return (open + 1.0) / Math.max(1, upstream.slots());
    }

    private double latencyFactor(final ServiceLimits service, final Upstream upstream) {
        final double relative = latencyTracker.relativeLatency(service.name(), upstream.instance());
        return Math.max(MIN_LATENCY_FACTOR, Math.min(MAX_LATENCY_FACTOR, relative));
    }

    private int freeSlots(final Upstream upstream) {
        final AdaptiveLimit limit = concurrencyLimits.get(upstream.instance());
        return limit == null ? AdaptiveLimit.INITIAL_LIMIT : limit.available();
    }

    /**
     * Returns whether the eligible upstreams have capacity for one more request of a tenant: more free slots than the sum of the
     * pending reservations of the service and the tenant's open requests.
     */
    public boolean hasCapacity(final ServiceLimits service, final String tenant, final Predicate<Upstream> eligible) {
        final int unavailable = reservations.unavailableSlots(service.name(), tenant);
        int free = 0;
        for (final Upstream upstream : upstreams.readyUpstreams(service.name())) {
            free += eligible.test(upstream) ? freeSlots(upstream) : 0;
            if (free > unavailable) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reserves capacity for one request until {@link #releaseReservation}. Must be called in the same event as the
     * {@link #hasCapacity} that found it. The request counts as open until {@link #onRequestEnded}.
     */
    public void reserve(final ServiceLimits service, final String tenant) {
        reservations.reserve(service.name(), tenant);
    }

    /** Releases the reservation of a request, because its first attempt starts now or it ends without an attempt. */
    public void releaseReservation(final ServiceLimits service) {
        reservations.release(service.name());
    }

    /** Notified when a request with reserved capacity ends. */
    public void onRequestEnded(final ServiceLimits service, final String tenant) {
        reservations.end(service.name(), tenant);
    }

    /**
     * Restarts slow start for instances regardless of their age, for example after their zone received no traffic for a while.
     *
     * @param instances the ids of the instances
     * @param durationMs the duration from now; a slow start that already ends later is not shortened
     */
    public void restartSlowStart(final List<String> instances, final long durationMs) {
        instances.forEach(instance -> slowStart.restart(instance, durationMs));
    }

    /** Notified when an attempt starts. */
    public void onAttemptStarted(final String instance) {
        concurrencyLimits.computeIfAbsent(instance, i -> new AdaptiveLimit()).onStarted();
    }

    /**
     * Notified when an attempt ends, exactly once for each attempt that started.
     *
     * @param service the upstream's service
     * @param instance the upstream's id
     * @param outcome the attempt's outcome
     * @param durationMs the attempt's duration
     * @param targetMs the longest duration that counts as fast
     */
    public void onAttemptEnded(
            final String service,
            final String instance,
            final AttemptOutcome outcome,
            final long durationMs,
            final long targetMs) {
        if (outcome == AttemptOutcome.CANCELLED) {
            concurrencyLimits.get(instance).onCancelled();
            return;
        }
        final boolean responded = outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.REJECTED;
        concurrencyLimits.get(instance).onEnded(responded, durationMs, targetMs, clock.nowMs());
        if (outcome == AttemptOutcome.ANSWERED) {
            latencyTracker.onResponse(service, instance, durationMs);
            ejector.onAnswer(instance);
        } else {
            ejector.onFailure(instance, outcome, clock.nowMs());
        }
    }

    /** Notified when an open attempt is so late that its request is hedged. */
    public void onAttemptLate(final String instance) {
        ejector.onLate(instance, clock.nowMs());
    }

    /** Removes the state of all other instances; keeps concurrency limits of instances with open attempts. */
    public void retain(final Set<String> instances) {
        ejector.retain(instances);
        slowStart.retain(instances);
        latencyTracker.retain(instances);
        concurrencyLimits
                .entrySet()
                .removeIf(entry ->
                        !instances.contains(entry.getKey()) && entry.getValue().isIdle());
    }
}
