package spokestall.usage;

/**
 * When a window is closed, sealed and sent; spans in milliseconds, counted from the window's end unless said otherwise.
 *
 * @param windowMs the span of a window
 * @param graceMs how long edges may still push counts before the window is sealed
 * @param closeMaxMs after which it is sealed though an edge has not closed it
 * @param gatherMs how long the cores' answers are waited for, and before the grace ends, when they are first requested
 * @param dueMs by when the report must have arrived at the platform
 * @param storeWaitMs how long a change of the window's register may take
 * @param sendTimeoutMs how long the platform's answer is waited for, if it is not due sooner
 * @param reportsPerSecond the most that are sent
 */
public record ReportSchedule(
        long windowMs,
        long graceMs,
        long closeMaxMs,
        long gatherMs,
        long dueMs,
        long storeTimeoutMs,
        long sendTimeoutMs,
        double reportsPerSecond) {
    /** When a window ends, on the fleet's time. */
    long endMs(final long window) {
        return (window + 1) * windowMs;
    }

    /** The least time between two reports. */
    double sendGapMs() {
        return 1000 / reportsPerSecond;
    }
}
