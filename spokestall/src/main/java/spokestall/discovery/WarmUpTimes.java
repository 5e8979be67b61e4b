package spokestall.discovery;

/**
 * Compares what readings say of when an instance's warm-up begins or ends. A reading that says how long ago or how far ahead that is
 * was made somewhere between its request and its answer, so it bounds the time on both sides. What is kept is the later bound: an
 * upstream that is taken to be warm too early is sent too much.
 */
final class WarmUpTimes {
    /** By how much a reading may be later than what is kept: the rounding of two readings, and small steps of the fleet's clock. */
    private static final long JITTER_MS = 20;
    /** A reading that is earlier than what is kept by less than this isn't worth a message to all nodes. */
    private static final long MIN_CORRECTION_MS = 1000;

    private WarmUpTimes() {}

    /**
     * Returns whether a newer reading says the same as what is kept. If it can only be later, the instance warms up anew; if it is
     * much earlier, the kept time came from a slow answer.
     *
     * @param keptMs the time that is kept
     * @param earliestMs the newer reading, as if it was made when it was requested
     * @param latestMs the newer reading, as if it was made when its answer arrived
     */
    static boolean isSame(final long keptMs, final long earliestMs, final long latestMs) {
        return earliestMs <= keptMs + JITTER_MS && keptMs - latestMs < MIN_CORRECTION_MS;
    }
}
