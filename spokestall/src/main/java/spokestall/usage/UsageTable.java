package spokestall.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * A core's table of the requests that upstreams began, by window, edge incarnation and tenant. A merge takes the larger count, so
 * reordered and repeated messages have no effect.
 *
 * <p>The size is limited: counts of windows far from the current one, and counts that exceed the maximum number of tenants or
 * incarnations, are discarded. Not thread-safe; call only on the node's event loop.
 */
public final class UsageTable {
    private static final int TENANTS_MAX = 4096;
    private static final int INCARNATIONS_MAX = 1024;
    private final LongSupplier currentWindow;
    private final int windowsKept;
    private long changeCount;

    // The iteration order of the inner maps determines the order in messages and on disk: keep the map type and key
    // format.
    private final TreeMap<Long, Map<String, Map<String, Long>>> windows = new TreeMap<>();
    private final TreeMap<Long, Set<String>> closed = new TreeMap<>();

    /**
     * Creates an empty table.
     *
     * @param currentWindow supplies the number of the current window
     * @param windowsKept the number of past windows that are kept
     */
    public UsageTable(final LongSupplier currentWindow, final int windowsKept) {
        this.currentWindow = currentWindow;
        this.windowsKept = windowsKept;
    }

    /** Merges an edge's counts of a window. */
    public void merge(final UsageMessage.Count count) {
        final long current = currentWindow.getAsLong();
        changeCount++;
        if (count.window() < current - windowsKept || count.window() > current + 1) {
            return;
        }
        final Map<String, Map<String, Long>> incarnations =
                windows.computeIfAbsent(count.window(), w -> new HashMap<>());
        final String incarnation = IncarnationKey.of(count.edge(), count.incarnation());
        if (incarnations.size() >= INCARNATIONS_MAX && !incarnations.containsKey(incarnation)
                || count.startedByTenant().size() > TENANTS_MAX) {
            return;
        }
        final Map<String, Long> started = incarnations.computeIfAbsent(incarnation, i -> new HashMap<>());
        count.startedByTenant().forEach((tenant, n) -> started.merge(tenant, n, Math::max));
        if (count.closed()) {
            closed.computeIfAbsent(count.window(), w -> new HashSet<>()).add(incarnation);
        }
        while (windows.firstKey() < current - windowsKept) {
            closed.remove(windows.pollFirstEntry().getKey());
        }
    }

    /**
     * Returns whether every edge incarnation with counts in this window or the previous one has closed this window. An incarnation
     * is ignored if its edge's current incarnation is a different one, because it has then ended.
     */
    public boolean isClosed(final long window, final CurrentIncarnations edges) {
        final Set<String> open =
                new HashSet<>(windows.getOrDefault(window, Map.of()).keySet());
        open.addAll(windows.getOrDefault(window - 1, Map.of()).keySet());
        open.removeAll(closed.getOrDefault(window, Set.of()));
        open.removeIf(key -> {
            final Long current = edges.of(IncarnationKey.edge(key));
            return current != null && current != IncarnationKey.incarnation(key);
        });
        return open.isEmpty();
    }

    /** Returns a window's totals by tenant over all edges. */
    public Map<String, Long> totals(final long window) {
        final Map<String, Long> totals = new TreeMap<>();
        windows.getOrDefault(window, Map.of())
                .values()
                .forEach(started -> started.forEach((tenant, n) -> totals.merge(tenant, n, Long::sum)));
        return totals;
    }

    /** Returns the counts of all windows, to be stored for this core's next incarnation. */
    public List<UsageMessage.Count> allCounts() {
        final List<UsageMessage.Count> found = new ArrayList<>();
        windows.keySet().forEach(window -> found.addAll(counts(window)));
        return found;
    }

    /** Returns the number of calls to {@link #merge}, including those whose counts were discarded. */
    public long changeCount() {
        return changeCount;
    }

    /** Returns the counts of a window, one element for each edge incarnation. */
    public List<UsageMessage.Count> counts(final long window) {
        final List<UsageMessage.Count> found = new ArrayList<>();
        windows.getOrDefault(window, Map.of())
                .forEach((key, started) -> found.add(new UsageMessage.Count(
                        IncarnationKey.edge(key),
                        IncarnationKey.incarnation(key),
                        window,
                        started,
                        closed.getOrDefault(window, Set.of()).contains(key))));
        return found;
    }
}
