package spokestall.usage;

/** Sends usage reports to the platform. */
@FunctionalInterface
public interface UsageReportClient {
    /**
     * Sends one report.
     *
     * @param holder the node that holds the lease
     * @param fencingToken the fencing token of the current lease session, which may be newer than that of the session that sealed
     *     the window
     * @param window the sealed counts
     * @param timeoutMillis the time to wait for the platform's answer, in milliseconds
     * @param deadline the send deadline, checked immediately before the report is sent
     * @param callback receives the result
     */
    void report(
            String holder,
            long fencingToken,
            SealedWindow window,
            long timeoutMillis,
            SendDeadline deadline,
            ReportCallback callback);
}
