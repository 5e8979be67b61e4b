package spokestall.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.LongSupplier;

/** Begun asks by window, edge life and tenant. Merging takes the larger count, so order and repeats don't matter. */
public final class UsageTable {
    private static final int TENANTS_MAX = 4096;
    private static final int INCARNATIONS_MAX = 1024;
    private final LongSupplier window;
    private final int windowsKept;
    private long changes;
    private final TreeMap<Long, Map<String, Map<String, Long>>> windows = new TreeMap<>();
    private final TreeMap<Long, Set<String>> closed = new TreeMap<>();

    /** Example: {@code new UsageTable(() -> fleet.nowMs() / windowMs, 12)}; windows far from now are not taken. */
    public UsageTable(final LongSupplier window, final int windowsKept) {
        this.window = window;
        this.windowsKept = windowsKept;
    }

    /** Merges one edge life's counts. */
    public void merge(final UsageMessage.Count count) {
        final long now = window.getAsLong();
        changes++;
        if (count.window() < now - windowsKept || count.window() > now + 1) {
            return;
        }
        final Map<String, Map<String, Long>> incarnations =
                windows.computeIfAbsent(count.window(), w -> new HashMap<>());
        final String incarnation = count.edge() + "#" + Long.toHexString(count.incarnation());
        if (incarnations.size() >= INCARNATIONS_MAX && !incarnations.containsKey(incarnation)
                || count.begun().size() > TENANTS_MAX) {
            return;
        }
        final Map<String, Long> begun = incarnations.computeIfAbsent(incarnation, l -> new HashMap<>());
        count.begun().forEach((tenant, n) -> begun.merge(tenant, n, Math::max));
        if (count.closed()) {
            closed.computeIfAbsent(count.window(), w -> new HashSet<>()).add(incarnation);
        }
        while (windows.firstKey() < now - windowsKept) {
            closed.remove(windows.pollFirstEntry().getKey());
        }
    }

    /** Whether every edge life that was heard in this window or the one before has closed it. A life whose edge is
     * present under another one has ended and is not waited for. */
    public boolean closed(final long of, final Function<String, Long> presentIncarnation) {
        final Set<String> open =
                new HashSet<>(windows.getOrDefault(of, Map.of()).keySet());
        open.addAll(windows.getOrDefault(of - 1, Map.of()).keySet());
        open.removeAll(closed.getOrDefault(of, Set.of()));
        open.removeIf(incarnation -> {
            final int at = incarnation.lastIndexOf('#');
            final Long present = presentIncarnation.apply(incarnation.substring(0, at));
            return present != null && present != Long.parseUnsignedLong(incarnation.substring(at + 1), 16);
        });
        return open.isEmpty();
    }

    /** A window's sums by tenant. */
    public Map<String, Long> sum(final long of) {
        final Map<String, Long> sum = new TreeMap<>();
        windows.getOrDefault(of, Map.of())
                .values()
                .forEach(begun -> begun.forEach((tenant, n) -> sum.merge(tenant, n, Long::sum)));
        return sum;
    }

    /** What is known of every window, to keep it beyond this life. */
    public List<UsageMessage.Count> all() {
        final List<UsageMessage.Count> found = new ArrayList<>();
        windows.keySet().forEach(w -> found.addAll(counts(w)));
        return found;
    }

    /** Grows with every change. */
    public long changes() {
        return changes;
    }

    /** What is known of a window, to hand to another core. */
    public List<UsageMessage.Count> counts(final long of) {
        final List<UsageMessage.Count> found = new ArrayList<>();
        windows.getOrDefault(of, Map.of()).forEach((incarnation, begun) -> {
            final int at = incarnation.lastIndexOf('#');
            found.add(new UsageMessage.Count(
                    incarnation.substring(0, at),
                    Long.parseUnsignedLong(incarnation.substring(at + 1), 16),
                    of,
                    begun,
                    closed.getOrDefault(of, Set.of()).contains(incarnation)));
        });
        return found;
    }
}
