package spokestall.lease;

import java.util.function.Consumer;

/**
 * Announces in the stored lease that a call made under a session may be in flight. Until the end of the call is stored too, rivals wait
 * for {@link LeaseTimeouts#callLeaseMs} before they acquire the lease: a holder that is frozen or cut off can't take back a call that
 * is held up on its way. Used on the node's event loop.
 */
public interface CallAnnouncer {
    /**
     * Announces a call.
     *
     * @param announced receives whether a majority stored the announcement; if not, the session has ended, and the call must not be
     *     made. Called once
     */
    void announce(Consumer<Boolean> announced);

    /** Notifies that an announced call has ended: it was answered, was not made, or its connection was reset. */
    void onCallEnded();
}
