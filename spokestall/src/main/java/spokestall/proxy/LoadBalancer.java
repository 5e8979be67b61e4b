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
 * Picks the upstream of each attempt: the one with the least cost, which is its open attempts over its slots, times its relative
 * latency, plus the distance to it. Costs are varied a little at random, so that equal upstreams share the load. Ejected
 * upstreams are picked only if there is no other, and upstreams that are warming up no faster than their ramp.
 *
 * <p>Also keeps account of the capacity that admitted requests will need, so that a request is admitted only if an upstream is
 * likely to take it.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Knows of this edge's attempts only.
 */
public final class LoadBalancer {
    private record Candidate(Upstream upstream, boolean ejected, double cost) {
        boolean betterThan(final Candidate other) {
            return other == null || other.ejected && !ejected || cost < other.cost;
        }
    }

    // How much of a difference latency may make at most, so that one slow or quick answer doesn't decide.
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
    /** How many attempts may be open, and are, by instance; none where no attempt was ever begun. */
    private final Map<String, AdaptiveLimit> concurrencyLimits = new HashMap<>();

    /**
     * Creates a load balancer that knows nothing of its upstreams yet.
     *
     * @param locality where this edge is
     * @param upstreams the upstreams to pick from
     * @param clock measures ejections and rates
     * @param fleetClock the clock that an upstream's warm-up is given by
     * @param random varies costs
     * @param parameters see there
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

    /** Applies other parameters from now on. */
    public void updateParameters(final LoadBalancerParameters parameters) {
        distanceCosts = parameters.distance();
        ejector.updateTimes(parameters.ejection());
        slowStart.updateLimits(parameters.slowStart());
    }

    /**
     * Picks the upstream for an attempt. One that is warming up is charged for the attempt, which therefore must be made.
     *
     * @param service the service's limits
     * @param eligible which upstreams the request may go to
     * @param tried instances that are not picked
     * @return the upstream, or empty if none may take the attempt now
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

    /** In units of one slot's work: about how long the attempt would wait, and what the way there costs. */
    private double cost(final ServiceLimits service, final Upstream upstream) {
        return utilisation(upstream) * latencyFactor(service, upstream) + locality.costTo(upstream, distanceCosts);
    }

    /** The attempts open there with this one, over its slots; where slots are unknown it is taken to have one. */
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
     * Returns whether upstreams have capacity for one more request of a tenant: more than is reserved for others and than the
     * tenant's open requests take.
     */
    public boolean hasCapacity(final ServiceLimits service, final String tenant, final Predicate<Upstream> eligible) {
        final int taken = reservations.taken(service.name(), tenant);
        int free = 0;
        for (final Upstream upstream : upstreams.readyUpstreams(service.name())) {
            free += eligible.test(upstream) ? freeSlots(upstream) : 0;
            if (free > taken) {
                return true;
            }
        }
        return false;
    }

    /**
     * Reserves the capacity that {@link #hasCapacity} found in the same event, until {@link #releaseReservation}; the request
     * itself counts until {@link #onRequestEnded}.
     */
    public void reserve(final ServiceLimits service, final String tenant) {
        reservations.reserve(service.name(), tenant);
    }

    /** Releases what was reserved for a request: its first attempt begins now, or there will be none. */
    public void releaseReservation(final ServiceLimits service) {
        reservations.release(service.name());
    }

    /** Notified when a request ends for which capacity was reserved. */
    public void onRequestEnded(final ServiceLimits service, final String tenant) {
        reservations.end(service.name(), tenant);
    }

    /**
     * Has instances count as warming up for so long, whatever their age: nothing was sent to their zone for a while, say.
     *
     * @param instances their ids
     * @param durationMs for how long from now; a time that ends later stays
     */
    public void restartSlowStart(final List<String> instances, final long durationMs) {
        instances.forEach(instance -> slowStart.restart(instance, durationMs));
    }

    /** Notified when an attempt begins. */
    public void onAttemptStarted(final String instance) {
        concurrencyLimits.computeIfAbsent(instance, i -> new AdaptiveLimit()).onStarted();
    }

    /**
     * Notified when an attempt ends, once for each that began.
     *
     * @param service the upstream's service
     * @param instance the upstream's id
     * @param outcome how it ended
     * @param durationMs how long it took
     * @param targetMs how long it should have taken at most
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

    /** Notified when an open attempt takes longer than it should. */
    public void onAttemptLate(final String instance) {
        ejector.onLate(instance, clock.nowMs());
    }

    /** Removes what is known of all instances but these, and of those that still have open attempts. */
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
