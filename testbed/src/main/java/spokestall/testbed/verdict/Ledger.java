package spokestall.testbed.verdict;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Everything that the stand-ins saw: each request that an upstream began and each report that the platform accepted. Thread-safe. */
public final class Ledger {
    /** One request that an upstream began to run. */
    public record Began(
            String instance, String service, String zone, String region, String tenant, String requestId, long atMs) {}

    /** One report that the platform accepted. */
    public record Reported(String holder, long token, long window, Map<String, Long> counts, long atMs) {}

    private final List<Began> began = new ArrayList<>();
    private final List<Reported> reported = new ArrayList<>();

    public synchronized void began(final Began b) {
        began.add(b);
    }

    public synchronized void reported(final Reported r) {
        reported.add(r);
    }

    public synchronized List<Began> began() {
        return List.copyOf(began);
    }

    public synchronized List<Reported> reported() {
        return List.copyOf(reported);
    }

    /** Returns how often the request of each id began. */
    Map<String, Integer> executionsByRequest() {
        final Map<String, Integer> times = new HashMap<>();
        began().forEach(b -> times.merge(b.requestId(), 1, Integer::sum));
        return times;
    }

    /** Counts the requests that began, by window and tenant. */
    Map<Long, Map<String, Long>> executionsByWindow(final long windowMs) {
        final Map<Long, Map<String, Long>> sums = new TreeMap<>();
        began().forEach(b ->
                sums.computeIfAbsent(b.atMs() / windowMs, w -> new TreeMap<>()).merge(b.tenant(), 1L, Long::sum));
        return sums;
    }
}
