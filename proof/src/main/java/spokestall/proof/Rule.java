package spokestall.proof;

/** What must never happen, one by one. */
enum Rule {
    ONCE("a run-once ask runs twice"),
    NOT_RUN("told not run about an ask that ran"),
    OWN_ANSWER("an answer that is not the upstream's own, whole answer to that ask"),
    KEY("a withdrawn key works after the bound"),
    POLICY("an accepted policy late, an older one back, or a denied one in force"),
    LEAVING("a leaving upstream or held district gets traffic after the bound"),
    HOME("served, or body carried, outside the home regions"),
    COLD("a cold upstream gets more than its ramp allows"),
    RETRIES("retries beyond their share in any ten seconds"),
    SAME_COUNTS("two reports of one window differ"),
    TOKEN("a token shared, or an old holder reports after a newer one"),
    IN_TIME("a window's counts late or off");

    final String text;

    Rule(final String text) {
        this.text = text;
    }
}
