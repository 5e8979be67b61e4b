package spokestall.proxy;

/** A ticket, which the id of a run-once request must contain: the generation and the fleet time at which it was issued. */
public record RequestTicket(long generation, long issuedMs) {
    /** Returns the ticket as the prefix of a request id, such as {@code t1-17-1000}. */
    public String text() {
        return "t1-" + generation + "-" + issuedMs;
    }

    /**
     * Returns the ticket at the start of a request id, or null if there is none. A repeated request has the same id and so the
     * same ticket. With a new ticket it could run a second time after its claim was lost or removed.
     */
    public static RequestTicket of(final String requestId) {
        if (requestId == null || !requestId.matches("t1-\\d{1,15}-\\d{1,15}\\..+")) {
            return null;
        }
        final String[] parts = requestId.substring(0, requestId.indexOf('.')).split("-");
        return new RequestTicket(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
    }
}
