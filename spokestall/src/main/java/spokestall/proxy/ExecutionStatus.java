package spokestall.proxy;

/** Whether a request ran, as far as this node knows. */
public enum ExecutionStatus {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNDECIDED("undecided");

    private final String wireName;

    ExecutionStatus(final String wireName) {
        this.wireName = wireName;
    }

    /** The value in the response header and body. */
    public String wireName() {
        return wireName;
    }
}
