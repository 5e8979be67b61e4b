package spokestall.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Registry of endpoints and their health as mergeable state. For each instance it contains the newest entry of the platform's
 * list and the newest observation of each core that probes it. The entry with the newest timestamp wins, so merges may be
 * repeated and reordered.
 *
 * <p>Each change gets the next offset of this process's numbering, which {@link #incarnation()} identifies. A peer uses offsets
 * to request only the changes that it doesn't have. Offsets are not comparable between nodes or incarnations.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Bounded to {@code maxEndpoints} entries. The entry of an instance that
 * is no longer listed is kept until {@link #prune}, so that an older entry from a peer doesn't restore it.
 */
public final class EndpointRegistry {
    private record PeerOffset(long incarnation, long offset) {}

    private record Numbered<T>(long offset, T value) {}

    private final long incarnation;
    private final int maxEndpoints;
    private final long observationTtlMs;
    private final HealthSource healthSource;
    // Sorted, because the order of entries determines which upstream a random choice selects.
    private final Map<String, Numbered<Endpoint>> endpoints = new TreeMap<>();
    private final Map<String, Map<String, Numbered<HealthObservation>>> observations = new TreeMap<>();
    /** Cache of each service's upstreams that are listed and not leaving, sorted by instance; a change of an entry clears it. */
    private final Map<String, List<Upstream>> servingByService = new HashMap<>();

    private final Map<String, PeerOffset> peerOffsets = new HashMap<>();
    private long offset;
    private long lastListReadMs;
    private long version;

    /**
     * Creates an empty registry.
     *
     * @param incarnation the id of this process's numbering of offsets, not zero
     * @param maxEndpoints the maximum number of instances; further ones are ignored
     * @param observationTtlMs how long an observation is valid
     * @param healthSource the source that determines whether an instance is ready
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

    /** Returns the id of this process's numbering of offsets. */
    public long incarnation() {
        return incarnation;
    }

    /** Records that a core read the platform's list at a time on the fleet's clock; an earlier time than known has no effect. */
    public void recordListRead(final long readMs) {
        lastListReadMs = Math.max(lastListReadMs, readMs);
    }

    /** Returns when a core last read the platform's list, as far as this node knows, or zero if unknown. */
    public long lastListReadMs() {
        return lastListReadMs;
    }

    /** Returns the last observation of an instance by a core, regardless of its age. */
    Optional<HealthObservation> observation(final String instance, final String core) {
        return Optional.ofNullable(observations.getOrDefault(instance, Map.of()).get(core))
                .map(Numbered::value);
    }

    /** Returns the offset of the newest change. */
    public long offset() {
        return offset;
    }

    /** Returns the incarnation of the peer's registry at the last merge from it, or zero if there was none. */
    public long peerIncarnation(final String core) {
        final PeerOffset seen = peerOffsets.get(core);
        return seen == null ? 0 : seen.incarnation;
    }

    /** Returns the offset up to which the peer's registry was merged, or zero if it wasn't. */
    public long peerOffset(final String core) {
        final PeerOffset seen = peerOffsets.get(core);
        return seen == null ? 0 : seen.offset;
    }

    /** Merges a peer's changes up to an offset. An incarnation of zero means that the peer sent no changes. */
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

    /** Merges entries and observations of any origin. */
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
            // The offset stays, because an earlier first listing is not a change to send to peers.
            put(new Numbered<>(known.offset, withEarlierListing(known.value, endpoint)));
        }
    }

    private void put(final Numbered<Endpoint> endpoint) {
        version++;
        servingByService.clear();
        endpoints.put(endpoint.value.instance(), endpoint);
    }

    /** Returns the later entry, with the earlier first listing if both entries are present at the same address. */
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

    /** Removes absent entries and observations with a timestamp before a time on the fleet's clock. */
    public void prune(final long beforeMs) {
        if (endpoints.values().removeIf(e -> !e.value.present() && e.value.timestampMs() < beforeMs)) {
            servingByService.clear();
        }
        observations.keySet().removeIf(instance -> !endpoints.containsKey(instance));
        observations.values().forEach(byCore -> byCore.values().removeIf(o -> o.value.timestampMs() < beforeMs));
    }

    /** Returns the entries that changed after an offset of this numbering, sorted by instance. */
    public List<Endpoint> endpointsAfter(final long afterOffset) {
        final List<Endpoint> found = new ArrayList<>();
        addAfter(afterOffset, endpoints.values(), found);
        return found;
    }

    /** Returns the observations that changed after an offset of this numbering, sorted by instance and core. */
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

    /** Returns a version that increases with each changed endpoint entry, but not with observations. */
    public long version() {
        return version;
    }

    /** Returns all entries sorted by instance, including those that are no longer listed. */
    public List<Endpoint> endpoints() {
        return endpointsAfter(0);
    }

    /** Returns the upstreams of a service that are ready at a time on the fleet's clock, sorted by instance. */
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
                        // A probe reports the warm-up more recently than the list does.
                        healthSource == HealthSource.PROBES ? 0 : endpoint.warmUpUntilMs()));
            }
        }
        return List.copyOf(serving);
    }

    /**
     * Returns the effective health of an instance at a time on the fleet's clock. With probes this is the unexpired observation
     * of any core whose status {@link HealthStatus#overrides} the others; among equal statuses the newest one. Without probes it
     * comes from the platform's list. Empty if there is none.
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

    /** Returns null instead of an Optional, because each pick of an upstream calls this for all upstreams of the service. */
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
