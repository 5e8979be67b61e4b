package spokestall.consensus;

/** Receives the result of one write to an acceptor's disk. Called on the node's event loop, exactly once for each write. */
@FunctionalInterface
public interface WriteCallback {
    /** For writes whose result changes nothing: the record is written again, or read again after a restart. */
    WriteCallback IGNORED = synced -> {};

    /**
     * Handles the end of the write.
     *
     * @param synced whether the record is synced to disk; false if the disk refused it for good or has no capacity for it
     */
    void onWriteCompleted(boolean synced);
}
