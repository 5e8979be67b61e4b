package spokestall.proxy;

/**
 * The goes of one ask: how many there were, and whether one more may be. Each further one is paid for from the retry
 * budget and counts against the most that there may be; where what was never sent is free, only a go that may have
 * arrived is counted, and paid for by the one after it; one that is begun while another is under way is always paid for.
 */
final class AttemptBudget {
    /** However free they are. */
    static final int MOST = 6;

    private final boolean unsentFree;
    private int begun;
    private int ended;
    private int unsent;
    private boolean unsentLast;

    AttemptBudget(final boolean unsentFree) {
        this.unsentFree = unsentFree;
    }

    int begun() {
        return begun;
    }

    /** One more begins; true if it is the first. */
    boolean begin() {
        return begun++ == 0;
    }

    /** How many are under way. */
    int open() {
        return begun - ended;
    }

    /** One ended; it may have arrived if any of it was sent. */
    void ended(final boolean mayHaveArrived) {
        ended++;
        unsentLast = !mayHaveArrived;
        unsent += mayHaveArrived ? 0 : 1;
    }

    /** Whether there may be one more, which is then paid for. */
    boolean again(final int most, final RetryBudget budget) {
        return (unsentFree ? begun - unsent : begun) < most
                && begun < MOST
                && (unsentFree && open() == 0 && unsentLast || budget.spend());
    }
}
