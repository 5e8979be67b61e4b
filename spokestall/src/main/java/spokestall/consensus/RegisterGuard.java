package spokestall.consensus;

/**
 * Rules that depend on the meaning of a register's key and value, which the acceptor itself doesn't know: which keys are pruned and
 * which values an acceptor must not accept.
 *
 * <p>Called on the node's event loop while the acceptor handles a message or a tick. The results may depend on the fleet's time; an
 * acceptor votes only while {@link #ready} returns true.
 */
public interface RegisterGuard {
    /**
     * Returns whether a snapshot on this disk covers the decisions of all version registers up to this version, so that these
     * registers may be missing here.
     */
    default boolean hasSnapshotUpTo(final long versionFloor) {
        return true;
    }

    /** Returns whether the other methods return reliable results yet. */
    boolean ready();

    /** Returns whether the key's register was pruned, or may have been, and so must never be created again. */
    boolean isPruned(String key);

    /** Returns whether the disk has capacity for a new register. Keys of lower priority are refused at a lower fill level. */
    boolean hasCapacityFor(String key);

    /** Returns whether the acceptor may accept the value; false, for example, for a claim whose ticket is too old. */
    boolean accepts(String key, byte[] value);
}
