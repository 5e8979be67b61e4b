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
 * A core's table of requests that upstreams began, by window, incarnation of an edge, and tenant. Merging takes the larger count,
 * so the order and repeats of messages don't matter.
 *
 * <p>Bounded: windows far from the present one, and tenants and incarnations beyond a maximum, are not taken. Not thread-safe; all
 * calls on the node's event loop.
 */
public final class UsageTable {
    private static final int TENANTS_MAX = 4096;
    private static final int INCARNATIONS_MAX = 1024;
    private final LongSupplier currentWindow;
    private final int windowsKept;
    private long changeCount;

    // The inner maps' order of iteration reaches messages and the disk, so their kind and the form of their keys stay.
    private final TreeMap<Long, Map<String, Map<String, Long>>> windows = new TreeMap<>();
    private final TreeMap<Long, Set<String>> closed = new TreeMap<>();

    /**
     * Creates an empty table.
     *
     * @param currentWindow the number of the present window
     * @param windowsKept how many past windows are kept
     */
    public UsageTable(final LongSupplier currentWindow, final int windowsKept) {
        this.currentWindow = currentWindow;
        this.windowsKept = windowsKept;
    }

    /** Merges one edge's counts of a window. */
    public void merge(final UsageMessage.Count count) {
        final long now = currentWindow.getAsLong();
        changeCount++;
        if (count.window() < now - windowsKept || count.window() > now + 1) {
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
        while (windows.firstKey() < now - windowsKept) {
            closed.remove(windows.pollFirstEntry().getKey());
        }
    }

    /**
     * Whether every incarnation of an edge that counted in this window or the one before has closed it. An incarnation whose edge
     * is present under another one has ended and is not waited for.
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

    /** A window's totals by tenant, over all edges. */
    public Map<String, Long> totals(final long window) {
        final Map<String, Long> totals = new TreeMap<>();
        windows.getOrDefault(window, Map.of())
                .values()
                .forEach(started -> started.forEach((tenant, n) -> totals.merge(tenant, n, Long::sum)));
        return totals;
    }

    /** The counts of every window, to be stored for this core's next incarnation. */
    public List<UsageMessage.Count> allCounts() {
        final List<UsageMessage.Count> found = new ArrayList<>();
        windows.keySet().forEach(window -> found.addAll(counts(window)));
        return found;
    }

    /** A number that grows with every merge. */
    public long changeCount() {
        return changeCount;
    }

    /** The counts of a window, by incarnation of an edge. */
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
