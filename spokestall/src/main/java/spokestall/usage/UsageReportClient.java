package spokestall.usage;

/** Sends usage reports to the platform. */
@FunctionalInterface
public interface UsageReportClient {
    /**
     * Sends one report, in two steps. All of it but its end is sent first, which the platform can't act on. If the platform answers
     * another call that is made after that, the permit is requested, and the end is sent. So no report that was sent into a dead link
     * is complete.
     *
     * @param deadline the send deadline, checked immediately before the first part is sent and before the end is
     * @param permit permits the end of the report to be sent
     * @param callback receives the result
     */
    void report(ReportCall call, SendDeadline deadline, ReportPermit permit, ReportCallback callback);
}
