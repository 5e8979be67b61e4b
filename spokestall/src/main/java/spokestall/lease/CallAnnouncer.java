package spokestall.lease;

import java.util.function.Consumer;

/**
 * Announces in the stored lease that a call made under a session may be in flight. Until the end of the call is stored too, rivals wait
 * longer before they acquire the lease, for {@link LeaseTimeouts#callLeaseMs} at most: a holder that is frozen or cut off can't take back a call that
 * is held up on its way. Used on the node's event loop.
 */
public interface CallAnnouncer {
    /**
     * Announces a call.
     *
     * @param coveredUntilMs until when rivals are to wait, on the node's monotonic clock; never shorter than for a lease without calls
     * @param announced receives whether a majority stored the announcement; if not, the session has ended, and the call must not be
     *     made. Called once
     */
    void announce(long coveredUntilMs, Consumer<Boolean> announced);

    /** Notifies that an announced call has ended: it was answered, was not made, or its connection was reset. */
    void onCallEnded();
}
