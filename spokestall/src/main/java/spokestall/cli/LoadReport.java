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
 * Results of a load generator run and its verdict.
 *
 * <p>Thread-safe.
 */
final class LoadReport {
    /** Result of a request that an upstream ran. */
    static final String RAN = "ran";
    /** Result of a request that received the response to another request; one such result makes the verdict bad. */
    static final String WRONG_ANSWER = "wrong-answer";

    private static final int PERCENT = 100;
    private static final int HIGH_PERCENTILE = 99;

    private final int requests;
    private final CountDownLatch pending;
    private final Map<String, AtomicInteger> byResult = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> byEdge = new ConcurrentHashMap<>();
    private final List<Long> durationsMs = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger retries = new AtomicInteger();

    /** Creates the report of a run with a fixed number of requests. */
    LoadReport(final int requests) {
        this.requests = requests;
        this.pending = new CountDownLatch(requests);
    }

    /** Counts one retry. */
    void onRetry() {
        retries.incrementAndGet();
    }

    /** Counts a finished request; the edge is null if none returned a final response. */
    void onFinished(final String result, final String edge, final long durationMs) {
        byResult.computeIfAbsent(result, r -> new AtomicInteger()).incrementAndGet();
        if (edge != null) {
            byEdge.computeIfAbsent(edge, e -> new AtomicInteger()).incrementAndGet();
        }
        durationsMs.add(durationMs);
        pending.countDown();
    }

    /** Blocks until all requests have finished or the timeout expires. */
    void await(final long timeoutMillis) throws InterruptedException {
        // Requests that are unfinished after the timeout are missing from the counts, so the verdict treats them as not
        // run.
        final boolean unused = pending.await(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Prints the counts and the verdict, in a format that scripts parse; returns whether the verdict is good. */
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
