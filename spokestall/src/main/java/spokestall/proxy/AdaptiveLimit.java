package spokestall.proxy;

/**
 * The number of attempts that one edge may have open at one upstream, adapted to how long they take: it grows by one after a
 * full round that was quick, shrinks when one took longer than it should, and halves when one got no response. So what an
 * upstream can't serve waits at the client, which learns when to come back, and not in the upstream's queue.
 */
final class AdaptiveLimit {
    /** The limit before anything is known of an upstream. */
    static final int INITIAL_LIMIT = 4;

    private static final double MAX_LIMIT = 256;
    private double limit = INITIAL_LIMIT;
    private int open;
    private long lastDecreaseMs = Long.MIN_VALUE / 2;

    int open() {
        return open;
    }

    /** Returns how many more attempts may be opened. */
    int available() {
        return Math.max(0, (int) limit - open);
    }

    boolean isIdle() {
        return open == 0;
    }

    void onStarted() {
        open++;
    }

    /** Records that an attempt was broken off, which says nothing of the upstream. */
    void onCancelled() {
        assert open > 0 : "ended more than begun";
        open--;
    }

    /** Records that an attempt ended: whether it was answered, how long that took, and how long it should take at most. */
    void onEnded(final boolean answered, final long durationMs, final long targetMs, final long nowMs) {
        assert open > 0 : "ended more than begun";
        if (answered && durationMs <= targetMs) {
            limit = open >= (int) limit - 1 ? Math.min(MAX_LIMIT, limit + 1 / limit) : limit;
        } else if (nowMs - lastDecreaseMs >= targetMs) {
            // Attempts begun before the last decrease say nothing about it.
            lastDecreaseMs = nowMs;
            limit = Math.max(1, limit * (answered ? 0.8 : 0.5));
        }
        open--;
    }
}
