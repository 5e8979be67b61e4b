package spokestall.consensus;

/**
 * What an acceptor must know of the meaning of its registers: which keys are pruned and which values it must not accept.
 *
 * <p>Called on the node's event loop, during a message or tick of the acceptor. The answers may depend on the fleet's time; an
 * acceptor votes only while {@link #ready} holds.
 */
public interface RegisterGuard {
    /**
     * Returns whether what the registers of versions up to this one decided is on this disk in another form (a snapshot), so that
     * the registers may be missing here.
     */
    default boolean hasSnapshotUpTo(final long versionFloor) {
        return true;
    }

    /** Returns whether the other answers can be relied on yet. */
    boolean ready();

    /** Returns whether the key's register was pruned, or may be, and must never be created anew. */
    boolean isPruned(String key);

    /** Returns whether the disk has capacity for a register that isn't there yet; keys that matter less get a no earlier. */
    boolean hasCapacityFor(String key);

    /** Returns whether the value may still be accepted; a claim whose ticket is too old may not. */
    boolean accepts(String key, byte[] value);
}
