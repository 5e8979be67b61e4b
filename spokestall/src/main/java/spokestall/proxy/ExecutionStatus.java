package spokestall.proxy;

/** What is known of whether an ask ran. */
public enum ExecutionStatus {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNDECIDED("undecided");

    private final String word;

    ExecutionStatus(final String word) {
        this.word = word;
    }

    /** The header's word. */
    public String word() {
        return word;
    }
}
