package spokestall.lease;

import spokestall.time.Clock;

/**
 * The lease as last observed by this node, and the time on the node's monotonic clock since which it has been unchanged.
 *
 * <p>Only a read from the store, that is from a majority, starts the watch of a new acquisition. The local replica of the register
 * may be ahead of the store or behind it: it can restart the watch or cause a read from the store, but never shortens the watch.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class LeaseWatch {
    private final Clock clock;
    private Lease observed;
    private long observedSinceMs;
    private boolean hasObservation;
    private Lease replica;
    private boolean hasReplica;
    private boolean replicaDiffers;

    LeaseWatch(final Clock clock) {
        this.clock = clock;
    }

    /** Returns the lease as last observed; null if it was absent or has not been observed. */
    Lease observed() {
        return observed;
    }

    /** Returns the time since which the observed lease has been unchanged. */
    long observedSinceMs() {
        return observedSinceMs;
    }

    /** Returns whether no lease has been observed yet, or the local replica shows a change that only the store can confirm. */
    boolean needsStoreRead() {
        return !hasObservation || replicaDiffers;
    }

    /**
     * Handles the lease in the local replica, null for an absent lease. A later renewal or a release by the observed owner restarts
     * the watch. Another owner or an absent lease requires a read from the store. An older state of the observed lease is ignored.
     */
    void onReplica(final Lease current) {
        if (hasReplica && Lease.isSameState(current, replica)) {
            return;
        }
        hasReplica = true;
        replica = current;
        if (!hasObservation
                || current == null
                || observed == null
                || !current.owner().equals(observed.owner())) {
            replicaDiffers = !hasObservation || !Lease.isSameState(current, observed);
        } else if (current.renewal() > observed.renewal() || current.released() && !observed.released()) {
            restart(current);
        }
    }

    /** Handles the lease read from the store, null for an absent lease. Restarts the watch if the lease has changed. */
    void onStoreRead(final Lease current) {
        replicaDiffers = false;
        if (!hasObservation || !Lease.isSameState(current, observed)) {
            restart(current);
        }
    }

    /** Starts a new watch of this lease at the current time. */
    void restart(final Lease current) {
        observed = current;
        observedSinceMs = clock.nowMs();
        hasObservation = true;
    }

    /** Discards the observed lease, so that the next watch starts with a read from the store. */
    void reset() {
        observed = null;
        hasObservation = false;
    }
}
