package spokestall.testbed.verdict;

/** What must never happen, with the bounds that the judges apply. docs/never.md has the same table. */
public enum Rule {
    ONCE("a run-once request runs twice", 0, 0, 0),
    NOT_RUN("a client is told that a request did not run, but it ran", 0, 0, 0),
    OWN_ANSWER("a response that is not the upstream's own, complete response to that request", 0, 0, 0),
    KEY("a withdrawn key is accepted after the bound", 5000, 5000, 0),
    POLICY("an accepted policy applies late, an older one returns, or a rejected one applies", 3000, 4000, 0),
    LEAVING("a draining upstream or a district on hold gets traffic after the bound", 3000, 5000, 0),
    HOME("a request is served, or its body sent, outside the tenant's home regions", 0, 0, 0),
    COLD("a cold upstream gets more requests than its ramp allows", 0, 0, 6),
    RETRIES("more retries than their share in any ten seconds", 10_000, 10_000, 15),
    SAME_COUNTS("two reports of one window differ", 0, 0, 0),
    TOKEN("two holders share a fencing token, or an old holder reports after a newer one", 0, 0, 0),
    IN_TIME("a window's counts are late or wrong", 10_000, 10_000, 3);

    final String text;
    /** Strict end of the range that the users allow; the judges apply this bound. */
    public final int strictBoundMs;

    /** Lenient end of the range that the users allow. */
    public final int lenientBoundMs;
    /**
     * Number of requests allowed beyond a relative bound: what the product itself allows, or requests at the edges of a usage
     * window.
     */
    final int slack;

    Rule(final String text, final int nearMs, final int farMs, final int few) {
        this.text = text;
        this.strictBoundMs = nearMs;
        this.lenientBoundMs = farMs;
        this.slack = few;
    }

    /** Returns the row that docs/never.md must contain. */
    String row() {
        return "| " + name() + " | "
                + (strictBoundMs == 0
                        ? ""
                        : strictBoundMs == lenientBoundMs
                                ? strictBoundMs + " ms"
                                : strictBoundMs + " to " + lenientBoundMs + " ms")
                + " | "
                + (slack == 0 ? "" : slack) + " |";
    }
}
