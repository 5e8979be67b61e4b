package spokestall.testbed.verdict;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the stand-ins saw, whole: every ask an upstream began and every report the platform took. */
public final class Ledger {
    /** One ask that an upstream began. */
    public record Began(
            String instance, String service, String zone, String region, String tenant, String requestId, long atMs) {}

    /** One report that the platform took. */
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

    /** How often each ask id was begun. */
    Map<String, Integer> executionsByRequest() {
        final Map<String, Integer> times = new HashMap<>();
        began().forEach(b -> times.merge(b.requestId(), 1, Integer::sum));
        return times;
    }

    /** Begun asks by window and tenant. */
    Map<Long, Map<String, Long>> executionsByWindow(final long windowMs) {
        final Map<Long, Map<String, Long>> sums = new TreeMap<>();
        began().forEach(b ->
                sums.computeIfAbsent(b.atMs() / windowMs, w -> new TreeMap<>()).merge(b.tenant(), 1L, Long::sum));
        return sums;
    }
}
