package spokestall.cli;

/** Exit codes shared by all commands; scripts rely on them. */
final class ExitCode {
    /** The command succeeded. */
    static final int OK = 0;
    /** The command ran, and its result is a failure. */
    static final int FAILED = 1;
    /** The command did not run: its arguments or input files are invalid. */
    static final int USAGE = 2;

    private ExitCode() {}
}
