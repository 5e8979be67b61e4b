package spokestall.lease;

/**
 * The value of a singleton role's register: who holds the lease and by which acquisition.
 *
 * <p>Immutable. Stored by the order of its components, so components are only ever added at the end.
 *
 * @param owner a value drawn afresh for each acquisition attempt
 * @param holder the name of the node that acquired it
 * @param renewal how often the lease was renewed since it was acquired
 * @param fencingToken rises with each acquisition, also over the generations of the voter set
 * @param spanMs how long the lease is valid after each change, in milliseconds
 * @param released whether its holder gave it up, with no call of its own in flight
 */
public record Lease(String owner, String holder, long renewal, long fencingToken, long spanMs, boolean released) {
    // Written on disk as part of the key: it must not change.
    private static final String KEY_PREFIX = "duty/";

    /** The key of a role's register. */
    public static String key(final String role) {
        return KEY_PREFIX + role;
    }

    /** The same lease, renewed once more by the same owner, valid for {@code newSpanMs} from now on. */
    Lease renewed(final long newSpanMs) {
        return new Lease(owner, holder, renewal + 1, fencingToken, newSpanMs, false);
    }

    /** The same lease, given up by its holder. */
    Lease release() {
        return new Lease(owner, holder, renewal, fencingToken, spanMs, true);
    }

    /**
     * Whether both are the same acquisition in the same state, that is, nobody renewed, released or acquired the lease in between.
     * Either may be null, for no lease at all.
     */
    static boolean isSameState(final Lease one, final Lease other) {
        if (one == null || other == null) {
            return one == other;
        }
        return one.owner.equals(other.owner) && one.renewal == other.renewal && one.released == other.released;
    }
}
