package spokestall.proxy;

/**
 * The number of attempts that one edge may have open at one upstream, adapted to how long they take: it grows by one after a
 * full round that was quick, shrinks when one took longer than it should, and halves when one got no response. So what an
 * upstream can't serve waits at the client, which learns when to come back, and not in the upstream's queue.
 */
final class AdaptiveLimit {
    /** The limit before anything is known of an upstream. */
    static final int FIRST = 4;

    private static final double MOST = 256;
    private double most = FIRST;
    private int open;
    private long cutMs = Long.MIN_VALUE / 2;

    int open() {
        return open;
    }

    /** Returns how many more attempts may be opened. */
    int room() {
        return Math.max(0, (int) most - open);
    }

    boolean idle() {
        return open == 0;
    }

    void begun() {
        open++;
    }

    /** Records that an attempt was broken off, which says nothing of the upstream. */
    void cancelled() {
        assert open > 0 : "ended more than begun";
        open--;
    }

    /** Records that an attempt ended: whether it was answered, how long that took, and how long it should take at most. */
    void ended(final boolean answered, final long spentMs, final long slowMs, final long nowMs) {
        assert open > 0 : "ended more than begun";
        if (answered && spentMs <= slowMs) {
            most = open >= (int) most - 1 ? Math.min(MOST, most + 1 / most) : most;
        } else if (nowMs - cutMs >= slowMs) {
            // Attempts begun before the last decrease say nothing about it.
            cutMs = nowMs;
            most = Math.max(1, most * (answered ? 0.8 : 0.5));
        }
        open--;
    }
}
