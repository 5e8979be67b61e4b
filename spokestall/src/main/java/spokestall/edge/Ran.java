package spokestall.edge;

/** What is known of whether an ask ran. */
public enum Ran {
    RAN("ran"),
    NOT_RUN("not-run"),
    UNDECIDED("undecided");

    private final String word;

    Ran(final String word) {
        this.word = word;
    }

    /** The header's word. Example: {@code Ran.NOT_RUN.word().equals("not-run")} */
    public String word() {
        return word;
    }
}
