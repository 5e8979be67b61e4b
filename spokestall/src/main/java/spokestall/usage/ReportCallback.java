package spokestall.usage;

/** Receives the result of a report. */
@FunctionalInterface
public interface ReportCallback {
    /** Called exactly once for each report, on the node's event loop. */
    void onResult(ReportResult result);
}
