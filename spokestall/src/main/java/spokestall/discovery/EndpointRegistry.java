package spokestall.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Upstreams as mergeable state: for each instance the newest word of the platform, and of each core that probes it.
 * Merging is by newest stamp, so order and repeats don't matter.
 */
public final class EndpointRegistry {
    private record Heard(long incarnation, long place) {}

    private record Numbered<T>(long place, T value) {}

    private final long incarnation;
    private final int entriesMax;
    private final long freshMs;
    private final boolean probed;
    private final Map<String, Numbered<Endpoint>> listed = new TreeMap<>();
    private final Map<String, Map<String, Numbered<HealthObservation>>> reports = new TreeMap<>();
    /** The upstreams of each service that are listed and not leaving, in the order of their names; made anew after the list
     * changed. */
    private final Map<String, List<Upstream>> serving = new HashMap<>();

    private final Map<String, Heard> heard = new HashMap<>();
    private long place;
    private long readMs;
    private long changes;

    /** Where nothing is probed, what is listed and not leaving counts as ready. */
    public EndpointRegistry(final long incarnation, final int entriesMax, final long freshMs, final boolean probed) {
        this.probed = probed;
        this.incarnation = incarnation;
        this.entriesMax = entriesMax;
        this.freshMs = freshMs;
    }

    /** Example: {@code endpointRegistry.incarnation()} names this process's own numbering. */
    public long incarnation() {
        return incarnation;
    }

    /** The platform's list was read then, by any core. */
    public void recordListRead(final long ms) {
        readMs = Math.max(readMs, ms);
    }

    /** When the list was last read, as far as is known. */
    public long lastListReadMs() {
        return readMs;
    }

    /** What a core last said of an instance, or null. */
    HealthObservation observation(final String instance, final String by) {
        final Numbered<HealthObservation> had =
                reports.getOrDefault(instance, Map.of()).get(by);
        return had == null ? null : had.value;
    }

    /** The place of the newest entry. */
    public long offset() {
        return place;
    }

    /** The numbering last heard from a core. */
    public long peerIncarnation(final String core) {
        final Heard h = heard.get(core);
        return h == null ? 0 : h.incarnation;
    }

    /** How far that numbering was heard. */
    public long peerOffset(final String core) {
        final Heard h = heard.get(core);
        return h == null ? 0 : h.place;
    }

    /** Merges what a core sent from a place on. */
    public void mergeFrom(
            final String core,
            final long coreIncarnation,
            final long corePlace,
            final List<Endpoint> entries,
            final List<HealthObservation> words) {
        if (coreIncarnation != 0) {
            heard.put(core, new Heard(coreIncarnation, corePlace));
            merge(entries, words);
        }
    }

    /** Merges entries from anywhere. */
    public void merge(final Collection<Endpoint> entries, final Collection<HealthObservation> words) {
        entries.forEach(this::merge);
        words.forEach(this::merge);
    }

    private void merge(final Endpoint entry) {
        final Numbered<Endpoint> had = listed.get(entry.instance());
        if (had == null ? listed.size() < entriesMax : entry.timestampMs() > had.value.timestampMs()) {
            put(new Numbered<>(++place, had == null ? entry : kept(had.value, entry)));
        } else if (had != null && entry.firstMs() < had.value.firstMs()) {
            put(new Numbered<>(had.place, kept(entry, had.value)));
        }
    }

    private void put(final Numbered<Endpoint> entry) {
        changes++;
        serving.clear();
        listed.put(entry.value.instance(), entry);
    }

    /** The later entry, listed first when the earlier one was, if it was there all the time. */
    private static Endpoint kept(final Endpoint earlier, final Endpoint later) {
        return earlier.present()
                        && later.present()
                        && earlier.address().equals(later.address())
                        && earlier.firstMs() < later.firstMs()
                ? later.at(true, later.timestampMs(), later.warmUpUntilMs(), earlier.firstMs())
                : later;
    }

    private void merge(final HealthObservation word) {
        final Map<String, Numbered<HealthObservation>> of =
                reports.computeIfAbsent(word.instance(), i -> new TreeMap<>());
        final Numbered<HealthObservation> had = of.get(word.by());
        if (had == null || word.timestampMs() > had.value.timestampMs()) {
            of.put(word.by(), new Numbered<>(++place, word));
        }
    }

    /** Lets go what has been absent for long. */
    public void prune(final long beforeMs) {
        if (listed.values().removeIf(l -> !l.value.present() && l.value.timestampMs() < beforeMs)) {
            serving.clear();
        }
        reports.keySet().removeIf(i -> !listed.containsKey(i));
        reports.values().forEach(of -> of.values().removeIf(r -> r.value.timestampMs() < beforeMs));
    }

    /** Entries after a place. */
    public List<Endpoint> endpointsAfter(final long after) {
        final List<Endpoint> found = new ArrayList<>();
        listed.values().forEach(l -> {
            if (l.place > after) {
                found.add(l.value);
            }
        });
        return found;
    }

    /** Reports after a place. */
    public List<HealthObservation> observationsAfter(final long after) {
        final List<HealthObservation> found = new ArrayList<>();
        reports.values()
                .forEach(of -> of.values().forEach(r -> {
                    if (r.place > after) {
                        found.add(r.value);
                    }
                }));
        return found;
    }

    /** Grows with every entry that changes. */
    public long version() {
        return changes;
    }

    /** Everything the platform lists or listed of late. */
    public List<Endpoint> endpoints() {
        return endpointsAfter(0);
    }

    /** The upstreams of a service that may take asks now. */
    public List<Upstream> readyUpstreams(final String service, final long nowMs) {
        final List<Upstream> all = serving.computeIfAbsent(service, this::serving);
        if (!probed) {
            return all;
        }
        final List<Upstream> found = new ArrayList<>();
        for (final Upstream u : all) {
            final HealthObservation word = health(u.instance(), nowMs);
            if (word != null && word.status() == HealthStatus.READY) {
                found.add(u.readySince(word.readySinceMs()));
            }
        }
        return found;
    }

    private List<Upstream> serving(final String service) {
        final List<Upstream> found = new ArrayList<>();
        for (final Numbered<Endpoint> n : listed.values()) {
            final Endpoint l = n.value;
            if (l.present() && !l.leaving() && l.service().equals(service)) {
                found.add(new Upstream(
                        l.instance(),
                        service,
                        l.address(),
                        l.zone(),
                        l.region(),
                        l.firstMs(),
                        l.slots(),
                        probed ? 0 : l.warmUpUntilMs()));
            }
        }
        return List.copyOf(found);
    }

    /** What the cores together say now: leaving or foreign from any one holds; ready from any one beats down. */
    public HealthObservation health(final String instance, final long nowMs) {
        if (!probed) {
            final Numbered<Endpoint> n = listed.get(instance);
            return n == null || !n.value.present()
                    ? null
                    : new HealthObservation(
                            instance,
                            "",
                            n.value.leaving() ? HealthStatus.LEAVING : HealthStatus.READY,
                            n.value.firstMs(),
                            n.value.timestampMs());
        }
        HealthObservation best = null;
        for (final Numbered<HealthObservation> n :
                reports.getOrDefault(instance, Map.of()).values()) {
            final HealthObservation r = n.value;
            if (nowMs - r.timestampMs() > freshMs) {
                continue;
            }
            if (best == null
                    || rank(r.status()) > rank(best.status())
                    || r.status() == best.status() && r.timestampMs() > best.timestampMs()) {
                best = r;
            }
        }
        return best;
    }

    private static int rank(final HealthStatus status) {
        return switch (status) {
            case DOWN -> 0;
            case READY -> 1;
            case LEAVING -> 2;
            case FOREIGN -> 3;
        };
    }
}
