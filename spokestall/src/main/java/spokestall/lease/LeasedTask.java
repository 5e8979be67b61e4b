package spokestall.lease;

/** The work of a singleton role, done under its lease. Called on the node's event loop. */
public interface LeasedTask {
    /**
     * Notifies the task that the lease was acquired. There is no call for the end: the task checks
     * {@link LeaseSession#isValid} before each step and stops by itself.
     */
    void onSessionStarted(LeaseSession session);

    /**
     * Whether no call that was made under an ended session may still arrive. Only then is the lease released before it expires, so
     * that no call with an older fencing token arrives after one with a newer. A task that makes no calls is always quiescent.
     */
    default boolean isQuiescent() {
        return true;
    }
}
