package spokestall.testbed.verdict;

/** What must never happen, one by one, with the bounds that the judge goes by; docs/never.md has the same table. */
public enum Rule {
    ONCE("a run-once ask runs twice", 0, 0, 0),
    NOT_RUN("told not run about an ask that ran", 0, 0, 0),
    OWN_ANSWER("an answer that is not the upstream's own, whole answer to that ask", 0, 0, 0),
    KEY("a withdrawn key works after the bound", 5000, 5000, 0),
    POLICY("an accepted policy late, an older one back, or a denied one in force", 3000, 4000, 0),
    LEAVING("a leaving upstream or held district gets traffic after the bound", 3000, 5000, 0),
    HOME("served, or body carried, outside the home regions", 0, 0, 0),
    COLD("a cold upstream gets more than its ramp allows", 0, 0, 6),
    RETRIES("retries beyond their share in any ten seconds", 10_000, 10_000, 15),
    SAME_COUNTS("two reports of one window differ", 0, 0, 0),
    TOKEN("a token shared, or an old holder reports after a newer one", 0, 0, 0),
    IN_TIME("a window's counts late or off", 10_000, 10_000, 3);

    final String text;
    /** The nearer end of what the users allow, which the judge goes by, and the farther one. */
    public final int strictBoundMs;

    public final int lenientBoundMs;
    /** How many are let go beyond a share: what the product itself allows, or asks at the edges of a window. */
    final int slack;

    Rule(final String text, final int nearMs, final int farMs, final int few) {
        this.text = text;
        this.strictBoundMs = nearMs;
        this.lenientBoundMs = farMs;
        this.slack = few;
    }

    /** The row that docs/never.md must have. */
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
