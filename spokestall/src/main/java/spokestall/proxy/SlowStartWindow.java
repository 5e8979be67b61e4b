package spokestall.proxy;

import java.util.ArrayDeque;
import java.util.Deque;

/** What this edge sent of late to one upstream that is warming up. Not thread-safe. */
final class SlowStartWindow {
    private final long notBeforeMs;
    private final Deque<Long> recentMs = new ArrayDeque<>();
    private long attempts;

    /**
     * Creates it with nothing sent.
     *
     * @param notBeforeMs nothing may be sent before then
     */
    SlowStartWindow(final long notBeforeMs) {
        this.notBeforeMs = notBeforeMs;
    }

    /**
     * Returns whether an attempt may be sent now, and counts it if so: in no span of {@code windowMs} more than {@code permits} are.
     *
     * @param nowMs the monotonic time, never less than in an earlier call
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

    /** How many attempts were allowed so far. */
    long attempts() {
        return attempts;
    }
}
