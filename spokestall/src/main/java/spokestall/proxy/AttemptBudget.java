package spokestall.proxy;

/**
 * Counts the attempts of one request and decides whether one more may start. By default each attempt after the first costs
 * one retry of the service's {@link RetryBudget} and counts against the request's maximum. Where unsent attempts are free, only
 * attempts that may have reached an upstream count against the maximum, and a retry after an unsent attempt costs nothing. A
 * hedged attempt always costs one retry.
 *
 * <p>Not thread-safe.
 */
final class AttemptBudget {
    /** The maximum number of attempts, sent or unsent, of any request. */
    static final int MAX_ATTEMPTS = 6;

    private final boolean unsentFree;
    private int started;
    private int ended;
    private int unsent;
    private boolean lastUnsent;

    AttemptBudget(final boolean unsentFree) {
        this.unsentFree = unsentFree;
    }

    int started() {
        return started;
    }

    /** Records that an attempt starts; returns whether it is the first one. */
    boolean onStarted() {
        return started++ == 0;
    }

    /** Returns the number of attempts in flight. */
    int inFlight() {
        return started - ended;
    }

    /** Records that an attempt ended, and whether it may have reached the upstream: true if any byte of it was sent. */
    void ended(final boolean mayHaveArrived) {
        ended++;
        lastUnsent = !mayHaveArrived;
        unsent += mayHaveArrived ? 0 : 1;
    }

    /** Returns whether one more attempt may start; if so, takes its cost from the retry budget. */
    boolean tryAcquire(final int attemptsMax, final RetryBudget budget) {
        return (unsentFree ? started - unsent : started) < attemptsMax
                && started < MAX_ATTEMPTS
                && (unsentFree && inFlight() == 0 && lastUnsent || budget.tryAcquire());
    }
}
