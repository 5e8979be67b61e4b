package spokestall.edge;

/** What a caller needs for a run-once ask: the generation and the fleet's time at which it was given out. */
public record Ticket(long generation, long issuedMs) {
    /** Example: {@code new Ticket(17, 1000).text().equals("t1-17-1000")} */
    public String text() {
        return "t1-" + generation + "-" + issuedMs;
    }

    /** Reads a ticket, or null when it is none. Example: {@code Ticket.of("t1-17-1000").generation() == 17} */
    public static Ticket of(final String text) {
        if (text == null || !text.matches("t1-\\d{1,15}-\\d{1,15}")) {
            return null;
        }
        final String[] parts = text.split("-");
        return new Ticket(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
    }
}
