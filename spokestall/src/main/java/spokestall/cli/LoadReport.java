package spokestall.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts how the load generator's requests ended, and judges the run.
 *
 * <p>Thread-safe.
 */
final class LoadReport {
    /** The result of a request that an upstream ran. */
    static final String RAN = "ran";
    /** The result of a request that got the response to another one; a single one makes the verdict bad. */
    static final String WRONG_ANSWER = "wrong-answer";

    private static final int PERCENT = 100;
    private static final int HIGH_PERCENTILE = 99;

    private final int requests;
    private final CountDownLatch pending;
    private final Map<String, AtomicInteger> byResult = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> byEdge = new ConcurrentHashMap<>();
    private final List<Long> durationsMs = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger retries = new AtomicInteger();

    /** Creates the report of a run of so many requests. */
    LoadReport(final int requests) {
        this.requests = requests;
        this.pending = new CountDownLatch(requests);
    }

    /** Counts one further attempt of a request. */
    void onRetry() {
        retries.incrementAndGet();
    }

    /** Counts the end of a request; the edge is null where none answered it. */
    void onFinished(final String result, final String edge, final long durationMs) {
        byResult.computeIfAbsent(result, r -> new AtomicInteger()).incrementAndGet();
        if (edge != null) {
            byEdge.computeIfAbsent(edge, e -> new AtomicInteger()).incrementAndGet();
        }
        durationsMs.add(durationMs);
        pending.countDown();
    }

    /** Waits until all requests have ended, for so many milliseconds at most. */
    void await(final long timeoutMillis) throws InterruptedException {
        // Requests that have not ended by then are missing from the counts, so the verdict has them as not run.
        final boolean unused = pending.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Prints the counts and the verdict; returns whether it is good. The texts are read by scripts. */
    boolean print(final PrintStream out, final double leastRanRatio) {
        final List<Long> sorted;
        synchronized (durationsMs) {
            sorted = new ArrayList<>(durationsMs);
        }
        Collections.sort(sorted);
        out.println("asks=" + requests + " ended=" + sorted.size() + " again=" + retries.get());
        new TreeMap<>(byResult).forEach((result, count) -> out.println("  " + result + "=" + count));
        new TreeMap<>(byEdge).forEach((edge, count) -> out.println("  edge " + edge + "=" + count));
        if (!sorted.isEmpty()) {
            final int high = Math.min(sorted.size() - 1, sorted.size() * HIGH_PERCENTILE / PERCENT);
            out.println("spentMs p50=" + sorted.get(sorted.size() / 2) + " p99=" + sorted.get(high));
        }
        final long ran = byResult.getOrDefault(RAN, new AtomicInteger()).get();
        final double ranRatio = (double) ran / requests;
        final boolean good = ranRatio >= leastRanRatio && !byResult.containsKey(WRONG_ANSWER);
        out.printf("verdict=%s ranShare=%.4f least=%.4f%n", good ? "good" : "bad", ranRatio, leastRanRatio);
        return good;
    }
}
