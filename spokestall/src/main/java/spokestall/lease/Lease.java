package spokestall.lease;

/**
 * The lease of a singleton role, as stored in the role's register: the holder and the acquisition by which it holds the lease.
 *
 * <p>Immutable. Encoded by the order of its components, so new components must be added at the end.
 *
 * @param owner a random value, new for each acquisition attempt
 * @param holder the name of the node that acquired the lease
 * @param renewal the number of renewals since the acquisition
 * @param fencingToken increases with each acquisition, also across generations of the voter set
 * @param spanMs how long the lease is valid after each change, in milliseconds
 * @param released whether the holder released the lease, which it does only while none of its calls is in flight
 */
public record Lease(String owner, String holder, long renewal, long fencingToken, long spanMs, boolean released) {
    // Part of keys stored on disk: it must not change.
    private static final String KEY_PREFIX = "duty/";

    /** Returns the key of a role's register. */
    public static String key(final String role) {
        return KEY_PREFIX + role;
    }

    /** Returns this lease with another fencing token. */
    Lease withFencingToken(final long newFencingToken) {
        return new Lease(owner, holder, renewal, newFencingToken, spanMs, released);
    }

    /** Returns this lease, renewed once more by its owner and valid for {@code newSpanMs} after this change. */
    Lease renewed(final long newSpanMs) {
        return new Lease(owner, holder, renewal + 1, fencingToken, newSpanMs, false);
    }

    /** Returns this lease, released by its holder. */
    Lease release() {
        return new Lease(owner, holder, renewal, fencingToken, spanMs, true);
    }

    /**
     * Returns whether both are the same acquisition in the same state, so that no node renewed, released or acquired the lease in
     * between. Either may be null, for an absent lease.
     */
    static boolean isSameState(final Lease one, final Lease other) {
        if (one == null || other == null) {
            return one == other;
        }
        return one.owner.equals(other.owner) && one.renewal == other.renewal && one.released == other.released;
    }
}
