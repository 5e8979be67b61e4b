package spokestall.consensus;

/** Receives the result of one write to an acceptor's disk. Called on the node's event loop, exactly once for each write. */
@FunctionalInterface
public interface WriteCallback {
    /** For writes whose result doesn't matter: the record is written again later, or read again after a restart. */
    WriteCallback IGNORED = synced -> {};

    /**
     * Handles the completion of the write.
     *
     * @param synced whether the record is synced to disk; false if the log rejected the write, for example for lack of capacity
     */
    void onWriteCompleted(boolean synced);
}
