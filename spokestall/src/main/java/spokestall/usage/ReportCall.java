package spokestall.usage;

/**
 * A report to send.
 *
 * @param holder the node that holds the lease
 * @param fencingToken the fencing token of the current lease session, which may be newer than that of the session that sealed the
 *     window
 * @param window the sealed counts
 * @param timeoutMillis the time for all of the report but its end, and again the time to wait for the platform's answer to it, in
 *     milliseconds
 */
public record ReportCall(String holder, long fencingToken, SealedWindow window, long timeoutMillis) {}
