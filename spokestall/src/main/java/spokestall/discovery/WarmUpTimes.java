package spokestall.discovery;

/**
 * Comparison of successive readings of the start or end of an instance's warm-up. A reading gives that time relative to the moment
 * of the reading, which lies between its request and its response, so each reading yields an earliest and a latest time. The
 * registry keeps the latest one, because an upstream that is considered warm too early gets too many requests.
 */
final class WarmUpTimes {
    /** Tolerance by which a reading may be later than the kept time, for rounding of two readings and small steps of the clock. */
    private static final long JITTER_MS = 20;
    /** Minimum correction towards an earlier time; a smaller one isn't worth a message to all nodes. */
    private static final long MIN_CORRECTION_MS = 1000;

    private WarmUpTimes() {}

    /**
     * Returns whether a newer reading confirms the kept time. If even its earliest time is later, the instance has restarted its
     * warm-up. If its latest time is much earlier, the kept time came from a slow response.
     *
     * @param keptMs the kept time
     * @param earliestMs the time from the newer reading if it was made when it was requested
     * @param latestMs the time from the newer reading if it was made when its response arrived
     */
    static boolean isSame(final long keptMs, final long earliestMs, final long latestMs) {
        return earliestMs <= keptMs + JITTER_MS && keptMs - latestMs < MIN_CORRECTION_MS;
    }
}
