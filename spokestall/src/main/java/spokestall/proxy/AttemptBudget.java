package spokestall.proxy;

/**
 * Counts the attempts of one request and decides whether one more may begin. Each attempt after the first takes one from the
 * retry budget and counts against the maximum. Where unsent attempts are free, only one that may have arrived counts, and the
 * attempt after it takes from the budget; a hedged attempt always does. Not thread-safe.
 */
final class AttemptBudget {
    /** The maximum also where unsent attempts are free. */
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

    /** Records that an attempt begins; returns whether it is the first. */
    boolean onStarted() {
        return started++ == 0;
    }

    /** Returns the number of attempts in flight. */
    int inFlight() {
        return started - ended;
    }

    /** Records that an attempt ended; it may have arrived if any of it was sent. */
    void ended(final boolean mayHaveArrived) {
        ended++;
        lastUnsent = !mayHaveArrived;
        unsent += mayHaveArrived ? 0 : 1;
    }

    /** Returns whether one more attempt may begin, and takes it from the budget. */
    boolean tryAcquire(final int maxAttempts, final RetryBudget budget) {
        return (unsentFree ? started - unsent : started) < maxAttempts
                && started < MAX_ATTEMPTS
                && (unsentFree && inFlight() == 0 && lastUnsent || budget.tryAcquire());
    }
}
