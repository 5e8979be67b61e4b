package spokestall.proxy;

/**
 * How many goes one edge may have open at one upstream, found out by how long they take: one more after a full round that
 * was quick, fewer when one took longer than it should, half when one got no answer. So what an upstream can't take waits
 * with the client, who is told when to come back, and not in the upstream's queue.
 */
final class AdaptiveLimit {
    /** Before anything is known of an upstream. */
    static final int FIRST = 4;

    private static final double MOST = 256;
    private double most = FIRST;
    private int open;
    private long cutMs = Long.MIN_VALUE / 2;

    int open() {
        return open;
    }

    /** How many more it may have. */
    int room() {
        return Math.max(0, (int) most - open);
    }

    boolean idle() {
        return open == 0;
    }

    void begun() {
        open++;
    }

    /** One ended: whether it was answered, how long that took, and how long it should take at the most. */
    void ended(final boolean answered, final long spentMs, final long slowMs, final long nowMs) {
        assert open > 0 : "ended more than begun";
        if (answered && spentMs <= slowMs) {
            most = open >= (int) most - 1 ? Math.min(MOST, most + 1 / most) : most;
        } else if (nowMs - cutMs >= slowMs) {
            // What was begun before the last cut says nothing about it.
            cutMs = nowMs;
            most = Math.max(1, most * (answered ? 0.8 : 0.5));
        }
        open--;
    }
}
