package spokestall.proxy;

/**
 * Adaptive concurrency limit of one edge at one upstream. The limit grows by about one for each full round of attempts that
 * meet the latency target, shrinks by a fifth when an attempt misses the target, and halves when an attempt gets no response.
 * Requests beyond the upstream's capacity are thus rejected with a retry time and don't build up in the upstream's queue.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class AdaptiveLimit {
    /** The limit for an upstream without any completed attempt. */
    static final int INITIAL_LIMIT = 4;

    private static final double MAX_LIMIT = 256;
    private double limit = INITIAL_LIMIT;
    private int open;
    private long lastDecreaseMs = Long.MIN_VALUE / 2;

    int open() {
        return open;
    }

    /** Returns how many more attempts may be started now. */
    int available() {
        return Math.max(0, (int) limit - open);
    }

    boolean isIdle() {
        return open == 0;
    }

    void onStarted() {
        open++;
    }

    /** Records that this edge cancelled an attempt. The limit stays, because a cancellation says nothing about the upstream. */
    void onCancelled() {
        assert open > 0 : "more attempts ended than started";
        open--;
    }

    /**
     * Records that an attempt ended and adapts the limit.
     *
     * @param responded whether the upstream responded
     * @param durationMs how long the attempt took
     * @param targetMs the longest duration that doesn't decrease the limit
     * @param nowMs the current time on the monotonic clock
     */
    void onEnded(final boolean responded, final long durationMs, final long targetMs, final long nowMs) {
        assert open > 0 : "more attempts ended than started";
        if (responded && durationMs <= targetMs) {
            limit = open >= (int) limit - 1 ? Math.min(MAX_LIMIT, limit + 1 / limit) : limit;
        } else if (nowMs - lastDecreaseMs >= targetMs) {
            // Attempts that started before the last decrease don't show its effect, so the next decrease waits one
            // target time.
            lastDecreaseMs = nowMs;
            limit = Math.max(1, limit * (responded ? 0.8 : 0.5));
        }
        open--;
    }
}
