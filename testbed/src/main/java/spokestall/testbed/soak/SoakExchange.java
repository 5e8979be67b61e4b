package spokestall.testbed.soak;

/**
 * One request of a client, and how it ended.
 *
 * @param requestId its id
 * @param runOnce whether it must run once at most
 * @param pid the process that took the connection
 * @param end how it ended
 * @param code the numbered result code of its answer, null if there was none
 * @param sentMs when its last byte was written, on the wall clock
 * @param endedMs when the answer was there or the connection had ended
 */
record SoakExchange(String requestId, boolean runOnce, long pid, End end, String code, long sentMs, long endedMs) {
    /** How a request ended for its client. */
    enum End {
        /** The whole answer of the upstream that ran it. */
        RAN,
        /** An answer that says that it has not run and never will. */
        NOT_RUN,
        /** An answer that promises nothing. */
        UNDECIDED,
        /** An answer to another request, or one that is not whole. */
        WRONG,
        /** The connection ended without an answer. */
        CLOSED,
        /** Neither an answer nor the connection's end came in time. */
        SILENT
    }
}
