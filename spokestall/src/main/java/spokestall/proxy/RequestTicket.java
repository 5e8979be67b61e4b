package spokestall.proxy;

/** What a client needs for a run-once request: the generation and the fleet's time at which the ticket was issued. */
public record RequestTicket(long generation, long issuedMs) {
    /** Returns the ticket as request ids begin with it, such as {@code t1-17-1000}. */
    public String text() {
        return "t1-" + generation + "-" + issuedMs;
    }

    /**
     * Returns the ticket that a run-once request's id begins with, or null when it has none. A repeat has the same id and so
     * the same ticket: with a fresh one it could run again after its claim was lost or removed.
     */
    public static RequestTicket of(final String requestId) {
        if (requestId == null || !requestId.matches("t1-\\d{1,15}-\\d{1,15}\\..+")) {
            return null;
        }
        final String[] parts = requestId.substring(0, requestId.indexOf('.')).split("-");
        return new RequestTicket(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
    }
}
