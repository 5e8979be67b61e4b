package spokestall.consensus;

/** Says which keys a voter still keeps, and which values it will never take. */
public interface RegisterGuard {
    /** Whether what registers up to a version decided is on this disk in another form, so that they may be missing here. */
    default boolean hasSnapshotUpTo(final long floor) {
        return true;
    }

    /** Whether the answers below can be relied on yet. */
    boolean ready();

    /** Whether the key was let go and must not be made anew. */
    boolean isPruned(String key);

    /** Whether there is room to begin a register that is not there yet. Example: claims leave room for the rest. */
    boolean hasCapacityFor(String key);

    /** Whether a value may still be accepted. Example: a claim with an old ticket may not. */
    boolean accepts(String key, byte[] value);
}
