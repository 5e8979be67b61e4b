package spokestall.cli;

/**
 * One attempt of a load generator request. Immutable; the attempts of a request are made one after another.
 *
 * @param kind the kind of request
 * @param client the client that sends the request
 * @param runUniqueId the id of the request in this run of the load generator
 * @param requestId the id sent in the request's header, the same for all attempts; null until the first attempt is sent
 * @param attempt the number of the attempt, starting at 0
 * @param startedAtMs the start of the first attempt, in monotonic milliseconds
 */
record LoadRequest(
        RequestPlan.Kind kind, String client, String runUniqueId, String requestId, int attempt, long startedAtMs) {
    /** Returns the request with an id, which contains the ticket if it is run-once. An id that is already set is kept. */
    LoadRequest withRequestId(final String ticket) {
        if (requestId != null) {
            return this;
        }
        return new LoadRequest(
                kind,
                client,
                runUniqueId,
                kind.runOnce() ? ticket + "." + runUniqueId : runUniqueId,
                attempt,
                startedAtMs);
    }

    /** Returns the next attempt of the request. */
    LoadRequest nextAttempt() {
        return new LoadRequest(kind, client, runUniqueId, requestId, attempt + 1, startedAtMs);
    }
}
