package spokestall.io;

/** The result of opening a data directory for a node. */
public sealed interface OpenResult {
    /** The node owns the directory until the process ends. */
    record Opened(DataDirectory directory) implements OpenResult {}

    /**
     * The node must not use the directory, which is unchanged.
     *
     * @param reason the reason, for the operator
     */
    record Refused(String reason) implements OpenResult {}
}
