package spokestall.usage;

/** Sends reports of usage to the platform. */
@FunctionalInterface
public interface UsageReportClient {
    /**
     * Sends one report.
     *
     * @param holder the node that holds the lease
     * @param fencingToken of the session under which it is sent, which may be newer than the one that sealed the window
     * @param window the sealed counts
     * @param timeoutMillis how long the answer is waited for
     * @param deadline checked right before the bytes leave
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
