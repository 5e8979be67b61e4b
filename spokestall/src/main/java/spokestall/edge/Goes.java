package spokestall.edge;

/**
 * The goes of one ask: how many there were, and whether one more may be. Each further one is paid for from the retry
 * budget and counts against the most that there may be; where what was never sent is free, only a go that may have
 * arrived is counted, and paid for by the one after it.
 */
final class Goes {
    /** However free they are. */
    static final int MOST = 6;
    private final boolean unsentFree;
    private int begun;
    private int arrived;
    private boolean arrivedLast;

    Goes(final boolean unsentFree) {
        this.unsentFree = unsentFree;
    }

    int begun() {
        return begun;
    }

    /** One more begins; true if it is the first. */
    boolean begin() {
        return begun++ == 0;
    }

    /** The last one ended; it may have arrived if any of it was sent. */
    void ended(final boolean mayHaveArrived) {
        arrivedLast = mayHaveArrived;
        arrived += mayHaveArrived ? 1 : 0;
    }

    /** Whether there may be one more, which is then paid for. */
    boolean again(final int most, final RetryBudget budget) {
        return (unsentFree ? arrived : begun) < most && begun < MOST && (unsentFree && !arrivedLast || budget.spend());
    }
}
