package spokestall.lease;

/** The work of a singleton role, which only the holder of the role's lease does. Called on the node's event loop. */
public interface LeasedTask {
    /**
     * Notifies the task that this node has acquired the lease. There is no notification of the session's end: the task checks
     * {@link LeaseSession#isValid} before each step and stops by itself.
     */
    void onSessionStarted(LeaseSession session);

    /**
     * Returns whether a call made under a session has not ended yet. A call ends with its answer, or when its connection is reset; it
     * must end by itself, at the deadline of its session at the latest. The lease is not released before.
     */
    default boolean hasCallInFlight() {
        return false;
    }

    /**
     * Returns whether no call made under an ended session can still arrive. The lease is released before its expiry only in that
     * case, so that no call with an older fencing token arrives after one with a newer token. A task that makes no calls is always
     * quiescent.
     */
    default boolean isQuiescent() {
        return true;
    }
}
