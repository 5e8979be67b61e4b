package spokestall.testbed.soak;

/**
 * One request of a client and its outcome.
 *
 * @param requestId the request's id
 * @param runOnce whether the request must run at most once
 * @param pid the process at the other end of the connection
 * @param end the outcome
 * @param code the numbered result code of the response, null without a response or a code
 * @param sentMs the wall-clock time at which the client wrote the last byte of the request
 * @param endedMs the wall-clock time at which the response was complete or the connection had ended
 */
record SoakExchange(String requestId, boolean runOnce, long pid, End end, String code, long sentMs, long endedMs) {
    /** The outcome of a request for its client. */
    enum End {
        /** The client received the complete response of the upstream that ran the request. */
        RAN,
        /** The response states that the request has not run and never will. */
        NOT_RUN,
        /** The response doesn't state whether the request ran. */
        UNDECIDED,
        /** The response belongs to another request or is incomplete. */
        WRONG,
        /** The connection ended without a response. */
        CLOSED,
        /** The client's read timed out: there was neither a response nor the end of the connection. */
        SILENT
    }
}
