package spokestall.proxy;

/** What is known of whether a request ran. */
public enum ExecutionStatus {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNDECIDED("undecided");

    private final String word;

    ExecutionStatus(final String word) {
        this.word = word;
    }

    /** The value in the response header. */
    public String word() {
        return word;
    }
}
