package spokestall.cli;

/** The exit codes that all commands share; scripts rely on them. */
final class ExitCode {
    /** The command did what it was to do. */
    static final int OK = 0;
    /** The command ran, and its result is bad. */
    static final int FAILED = 1;
    /** The command did not run: its arguments can't be used. */
    static final int USAGE = 2;

    private ExitCode() {}
}
