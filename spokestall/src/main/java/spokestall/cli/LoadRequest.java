package spokestall.cli;

/**
 * One request of the load generator, at one of its attempts. Immutable; attempts of a request follow one another.
 *
 * @param kind what is requested
 * @param client the client that it is sent for
 * @param runUniqueId its number in this run
 * @param requestId its id as sent, which all attempts share; null until the first attempt is sent
 * @param attempt the number of the attempt, from 0
 * @param startedAtMs when its first attempt began, in monotonic milliseconds
 */
record LoadRequest(
        RequestPlan.Kind kind, String client, String runUniqueId, String requestId, int attempt, long startedAtMs) {
    /** Returns the request as sent with this ticket; a run-once request keeps the ticket of its first attempt. */
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

    /** Returns the request at its next attempt. */
    LoadRequest nextAttempt() {
        return new LoadRequest(kind, client, runUniqueId, requestId, attempt + 1, startedAtMs);
    }
}
