package spokestall.lease;

import spokestall.time.Clock;

/**
 * What this node has observed of the lease, and since when that has been unchanged on its own monotonic clock.
 *
 * <p>A lease is taken as observed only when the store named it. The node's own copy of the register, which may be ahead of the
 * store or behind it, can restart the watch or call for a read of the store, never shorten the watch.
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

    /** The lease as last observed, or null if there was none or none is known. */
    Lease observed() {
        return observed;
    }

    /** Since when the observed lease has been unchanged. */
    long observedSinceMs() {
        return observedSinceMs;
    }

    /** Whether nothing was observed yet, or this node's copy shows what only the store can confirm. */
    boolean needsStoreRead() {
        return !hasObservation || replicaDiffers;
    }

    /** Receives this node's copy of the lease, null for no lease. A later change by the observed owner restarts the watch. */
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

    /** Receives what a read of the store returned, null for no lease. The watch goes on only if that is unchanged too. */
    void onStoreRead(final Lease current) {
        replicaDiffers = false;
        if (!hasObservation || !Lease.isSameState(current, observed)) {
            restart(current);
        }
    }

    /** Begins a new watch of this lease, as the store returned it. */
    void restart(final Lease current) {
        observed = current;
        observedSinceMs = clock.nowMs();
        hasObservation = true;
    }

    /** Forgets the observed lease: the next watch begins with a read of the store. */
    void reset() {
        observed = null;
        hasObservation = false;
    }
}
