package spokestall.proxy;

import java.util.ArrayDeque;
import java.util.Deque;

/** Sliding window of the attempts that this edge sent to one upstream in slow start. Not thread-safe. */
final class SlowStartWindow {
    private final long notBeforeMs;
    private final Deque<Long> recentMs = new ArrayDeque<>();
    private long attempts;

    /**
     * Creates an empty window.
     *
     * @param notBeforeMs the earliest time of the first attempt, on the monotonic clock
     */
    SlowStartWindow(final long notBeforeMs) {
        this.notBeforeMs = notBeforeMs;
    }

    /**
     * Returns whether an attempt may be sent now, and counts it if so. Allows at most {@code permits} attempts in any interval of
     * {@code windowMs}.
     *
     * @param nowMs the current time on the monotonic clock, never less than in an earlier call
     */
    boolean tryAcquire(final long nowMs, final int permits, final long windowMs) {
        while (!recentMs.isEmpty() && nowMs - recentMs.peekFirst() >= windowMs) {
            recentMs.pollFirst();
        }
        if (nowMs < notBeforeMs || recentMs.size() >= permits) {
            return false;
        }
        recentMs.addLast(nowMs);
        attempts++;
        return true;
    }

    /** The number of attempts allowed since the window was created. */
    long attempts() {
        return attempts;
    }
}
