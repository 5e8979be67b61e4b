package spokestall.cli;

/**
 * One request of the load generator, at one of its attempts. Immutable; attempts of a request follow one another.
 *
 * @param kind what is requested
 * @param client the client that it is sent for
 * @param id its number in this run
 * @param name its id as sent, which all attempts share; null until the first attempt is sent
 * @param attempt the number of the attempt, from 0
 * @param begunMs when its first attempt began, in monotonic milliseconds
 */
record LoadRequest(RequestPlan.Kind kind, String client, String id, String name, int attempt, long begunMs) {
    /** Returns the request as sent with this ticket; a run-once request keeps the ticket of its first attempt. */
    LoadRequest named(final String ticket) {
        if (name != null) {
            return this;
        }
        return new LoadRequest(kind, client, id, kind.runOnce() ? ticket + "." + id : id, attempt, begunMs);
    }

    /** Returns the request at its next attempt. */
    LoadRequest nextAttempt() {
        return new LoadRequest(kind, client, id, name, attempt + 1, begunMs);
    }
}
