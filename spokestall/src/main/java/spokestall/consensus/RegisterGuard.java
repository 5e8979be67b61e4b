package spokestall.consensus;

/** Says which keys a voter still keeps, and which values it will never take. */
public interface RegisterGuard {
    /** Whether what registers up to a version decided is on this disk in another form, so that they may be missing here. */
    default boolean holds(final long floor) {
        return true;
    }

    /** Whether the answers below can be relied on yet. */
    boolean ready();

    /** Whether the key was let go and must not be made anew. */
    boolean gone(String key);

    /** Whether there is room to begin a register that is not there yet. Example: claims leave room for the rest. */
    boolean room(String key);

    /** Whether a value may still be accepted. Example: a claim with an old ticket may not. */
    boolean takes(String key, byte[] value);
}
