package spokestall.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Upstreams as mergeable state: for each instance the newest entry of the platform's list, and the newest observation of each
 * core that probes it. The entry with the newest timestamp wins, so the order and the repetition of merges don't matter.
 *
 * <p>Each change gets the next offset in this process's own numbering, which {@link #incarnation()} names, so that a peer can
 * request what is new to it. Offsets are not comparable between nodes or incarnations.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Bounded: no more than {@code maxEndpoints} entries. An entry that was
 * listed no more is kept until {@link #prune}, so that older entries of peers don't bring it back.
 */
public final class EndpointRegistry {
    private record PeerOffset(long incarnation, long offset) {}

    private record Numbered<T>(long offset, T value) {}

    private final long incarnation;
    private final int maxEndpoints;
    private final long observationTtlMs;
    private final HealthSource healthSource;
    // Sorted, since the order of entries decides which upstream a random draw picks.
    private final Map<String, Numbered<Endpoint>> endpoints = new TreeMap<>();
    private final Map<String, Map<String, Numbered<HealthObservation>>> observations = new TreeMap<>();
    /** The upstreams of each service that are listed and not leaving, by instance; built on demand after a change. */
    private final Map<String, List<Upstream>> servingByService = new HashMap<>();

    private final Map<String, PeerOffset> peerOffsets = new HashMap<>();
    private long offset;
    private long lastListReadMs;
    private long version;

    /**
     * Creates an empty registry.
     *
     * @param incarnation names this process's numbering of offsets, not zero
     * @param maxEndpoints instances beyond these are ignored
     * @param observationTtlMs how long an observation counts
     * @param healthSource where it is taken from whether an instance is ready
     */
    public EndpointRegistry(
            final long incarnation,
            final int maxEndpoints,
            final long observationTtlMs,
            final HealthSource healthSource) {
        this.incarnation = incarnation;
        this.maxEndpoints = maxEndpoints;
        this.observationTtlMs = observationTtlMs;
        this.healthSource = healthSource;
    }

    /** Returns the name of this process's numbering of offsets. */
    public long incarnation() {
        return incarnation;
    }

    /** Records that some core read the platform's list then, on the fleet's clock; an earlier time has no effect. */
    public void recordListRead(final long readMs) {
        lastListReadMs = Math.max(lastListReadMs, readMs);
    }

    /** Returns when any core last read the platform's list, as far as is known here; zero if that isn't known. */
    public long lastListReadMs() {
        return lastListReadMs;
    }

    /** Returns the last observation of an instance by a core, however old. */
    Optional<HealthObservation> observation(final String instance, final String core) {
        return Optional.ofNullable(observations.getOrDefault(instance, Map.of()).get(core))
                .map(Numbered::value);
    }

    /** Returns the offset of the newest change. */
    public long offset() {
        return offset;
    }

    /** Returns the incarnation of a peer's registry that was last merged from, zero if there was none. */
    public long peerIncarnation(final String core) {
        final PeerOffset seen = peerOffsets.get(core);
        return seen == null ? 0 : seen.incarnation;
    }

    /** Returns up to which offset a peer's registry was merged, zero if it wasn't. */
    public long peerOffset(final String core) {
        final PeerOffset seen = peerOffsets.get(core);
        return seen == null ? 0 : seen.offset;
    }

    /** Merges a peer's changes up to an offset; an incarnation of zero says that the peer sent none. */
    public void mergeFrom(
            final String core,
            final long coreIncarnation,
            final long coreOffset,
            final List<Endpoint> newEndpoints,
            final List<HealthObservation> newObservations) {
        if (coreIncarnation != 0) {
            peerOffsets.put(core, new PeerOffset(coreIncarnation, coreOffset));
            merge(newEndpoints, newObservations);
        }
    }

    /** Merges entries and observations from anywhere. */
    public void merge(final Collection<Endpoint> newEndpoints, final Collection<HealthObservation> newObservations) {
        newEndpoints.forEach(this::merge);
        newObservations.forEach(this::merge);
    }

    private void merge(final Endpoint endpoint) {
        final Numbered<Endpoint> known = endpoints.get(endpoint.instance());
        if (known == null) {
            if (endpoints.size() < maxEndpoints) {
                put(new Numbered<>(++offset, endpoint));
            }
        } else if (endpoint.timestampMs() > known.value.timestampMs()) {
            put(new Numbered<>(++offset, withEarlierListing(endpoint, known.value)));
        } else if (endpoint.earliestListedMs() < known.value.earliestListedMs()) {
            // The offset stays: that it was listed earlier isn't a change that peers are sent.
            put(new Numbered<>(known.offset, withEarlierListing(known.value, endpoint)));
        }
    }

    private void put(final Numbered<Endpoint> endpoint) {
        version++;
        servingByService.clear();
        endpoints.put(endpoint.value.instance(), endpoint);
    }

    /** The later entry, first listed when the earlier one was if the instance was at the same address all the time. */
    private static Endpoint withEarlierListing(final Endpoint later, final Endpoint earlier) {
        return earlier.present()
                        && later.present()
                        && earlier.address().equals(later.address())
                        && earlier.earliestListedMs() < later.earliestListedMs()
                ? later.firstListedAt(earlier.earliestListedMs())
                : later;
    }

    private void merge(final HealthObservation observation) {
        final Map<String, Numbered<HealthObservation>> byCore =
                observations.computeIfAbsent(observation.instance(), i -> new TreeMap<>());
        final Numbered<HealthObservation> known = byCore.get(observation.core());
        if (known == null || observation.timestampMs() > known.value.timestampMs()) {
            byCore.put(observation.core(), new Numbered<>(++offset, observation));
        }
    }

    /** Removes entries that have been absent, and observations that were made, before a time on the fleet's clock. */
    public void prune(final long beforeMs) {
        if (endpoints.values().removeIf(e -> !e.value.present() && e.value.timestampMs() < beforeMs)) {
            servingByService.clear();
        }
        observations.keySet().removeIf(instance -> !endpoints.containsKey(instance));
        observations.values().forEach(byCore -> byCore.values().removeIf(o -> o.value.timestampMs() < beforeMs));
    }

    /** Returns the entries that changed after an offset of this numbering, by instance. */
    public List<Endpoint> endpointsAfter(final long afterOffset) {
        final List<Endpoint> found = new ArrayList<>();
        addAfter(afterOffset, endpoints.values(), found);
        return found;
    }

    /** Returns the observations that changed after an offset of this numbering, by instance and core. */
    public List<HealthObservation> observationsAfter(final long afterOffset) {
        final List<HealthObservation> found = new ArrayList<>();
        observations.values().forEach(byCore -> addAfter(afterOffset, byCore.values(), found));
        return found;
    }

    private static <T> void addAfter(
            final long afterOffset, final Collection<Numbered<T>> entries, final List<T> found) {
        for (final Numbered<T> entry : entries) {
            if (entry.offset > afterOffset) {
                found.add(entry.value);
            }
        }
    }

    /** Returns a number that grows with every entry of the list that changes; observations don't count. */
    public long version() {
        return version;
    }

    /** Returns all entries by instance, those that are no more listed too. */
    public List<Endpoint> endpoints() {
        return endpointsAfter(0);
    }

    /** Returns the upstreams of a service that may take requests at a time on the fleet's clock, by instance. */
    public List<Upstream> readyUpstreams(final String service, final long nowMs) {
        final List<Upstream> serving = servingByService.computeIfAbsent(service, this::serving);
        if (healthSource == HealthSource.PLATFORM_LIST) {
            return serving;
        }
        final List<Upstream> ready = new ArrayList<>();
        for (final Upstream upstream : serving) {
            final HealthObservation health = overridingObservation(upstream.instance(), nowMs);
            if (health != null && health.status() == HealthStatus.READY) {
                ready.add(upstream.withReadySince(health.readySinceMs()));
            }
        }
        return ready;
    }

    private List<Upstream> serving(final String service) {
        final List<Upstream> serving = new ArrayList<>();
        for (final Numbered<Endpoint> entry : endpoints.values()) {
            final Endpoint endpoint = entry.value;
            if (endpoint.present() && !endpoint.leaving() && endpoint.service().equals(service)) {
                serving.add(new Upstream(
                        endpoint.instance(),
                        service,
                        endpoint.address(),
                        endpoint.zone(),
                        endpoint.region(),
                        endpoint.earliestListedMs(),
                        endpoint.slots(),
                        // What a probe says of the warm-up is newer.
                        healthSource == HealthSource.PROBES ? 0 : endpoint.warmUpUntilMs()));
            }
        }
        return List.copyOf(serving);
    }

    /**
     * Returns what counts of all cores' observations of an instance at a time on the fleet's clock: of those that are not too
     * old the one whose status {@link HealthStatus#overrides} the others', of equals the newest. Empty if there is none.
     */
    public Optional<HealthObservation> health(final String instance, final long nowMs) {
        if (healthSource == HealthSource.PLATFORM_LIST) {
            return Optional.ofNullable(endpoints.get(instance))
                    .map(Numbered::value)
                    .filter(Endpoint::present)
                    .map(EndpointRegistry::listedHealth);
        }
        return Optional.ofNullable(overridingObservation(instance, nowMs));
    }

    /** Null if there is none: this runs for each upstream of a service whenever one is picked. */
    private HealthObservation overridingObservation(final String instance, final long nowMs) {
        HealthObservation best = null;
        for (final Numbered<HealthObservation> entry :
                observations.getOrDefault(instance, Map.of()).values()) {
            final HealthObservation candidate = entry.value;
            if (nowMs - candidate.timestampMs() <= observationTtlMs && (best == null || overrides(candidate, best))) {
                best = candidate;
            }
        }
        return best;
    }

    private static HealthObservation listedHealth(final Endpoint endpoint) {
        return new HealthObservation(
                endpoint.instance(),
                "",
                endpoint.leaving() ? HealthStatus.LEAVING : HealthStatus.READY,
                endpoint.earliestListedMs(),
                endpoint.timestampMs());
    }

    private static boolean overrides(final HealthObservation candidate, final HealthObservation best) {
        return candidate.status().overrides(best.status())
                || candidate.status() == best.status() && candidate.timestampMs() > best.timestampMs();
    }
}
