package spokestall.usage;

/**
 * The schedule for closing, sealing and sending a window. Times are in milliseconds.
 *
 * @param windowMs the length of a window
 * @param graceMs the time after the window's end during which edges may still push counts before the window is sealed
 * @param closeMaxMs the time after the window's end at which it is sealed even if an edge has not closed it
 * @param gatherMs the time to wait for the cores' answers; the cores are first asked this long before the grace period ends
 * @param dueMs the time after the window's end by which the report must have arrived at the platform
 * @param takeoverMs the time that a successor needs, from the lease's expiry until its report of a sealed window has arrived
 * @param storeTimeoutMs the timeout of a change to the window's register
 * @param sendTimeoutMs the timeout of a report's call to the platform, which is shortened if the report is due earlier
 * @param reportsPerSecond the maximum rate of reports
 */
public record ReportSchedule(
        long windowMs,
        long graceMs,
        long closeMaxMs,
        long gatherMs,
        long dueMs,
        long takeoverMs,
        long storeTimeoutMs,
        long sendTimeoutMs,
        double reportsPerSecond) {
    /** Returns the end of a window on the fleet clock. */
    long endMs(final long window) {
        return (window + 1) * windowMs;
    }

    /** Returns the minimum time between two reports. */
    double sendGapMs() {
        return 1000 / reportsPerSecond;
    }
}
