package spokestall.lease;

import spokestall.consensus.Voter;
import spokestall.time.Clock;

/**
 * Decides when this node may acquire the lease that it observed.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class AcquisitionRule {
    private final LeaseContext context;
    private final Clock clock;
    private final LeaseTimeouts timeouts;
    private final LeasedTask task;

    /** When this node last may have acted as the holder; at first its start, since an earlier incarnation may have held. */
    private long lastHeldMs;

    /** The owner value of the last session that ended in this incarnation, or null. */
    private String lastEndedOwner;

    AcquisitionRule(final LeaseContext context, final LeaseTimeouts timeouts, final LeasedTask task) {
        this.context = context;
        this.clock = context.clock();
        this.timeouts = timeouts;
        this.task = task;
        this.lastHeldMs = clock.nowMs();
    }

    /** Notes that a session of this node has ended now. */
    void onSessionEnded(final LeaseSession session) {
        lastHeldMs = clock.nowMs();
        lastEndedOwner = session.owner();
    }

    /** Whether this node may acquire the lease as observed now. */
    boolean mayAcquire(final LeaseWatch watch) {
        final Lease observed = watch.observed();
        if (isOwnUnusedLease(observed)) {
            return true;
        }
        final long nowMs = clock.nowMs();
        return nowMs - lastHeldMs >= timeouts.cooldownMs()
                && nowMs - watch.observedSinceMs() >= expiresAfterMs(observed) + staggerDelayMs(observed);
    }

    /**
     * Whether the lease names this node as the holder by an acquisition whose outcome was unknown, or by an earlier incarnation.
     * Nothing is done under it and nobody else acquired it since, so its expiry need not be waited for. A session that has ended
     * in this incarnation is left to others. Of a lease that an older generation allotted, a later change may have been lost.
     */
    private boolean isOwnUnusedLease(final Lease observed) {
        return observed != null
                && observed.holder().equals(context.node())
                && !observed.owner().equals(lastEndedOwner)
                && observed.fencingToken() >= context.proposer().voterSet().firstNumber()
                && task.isQuiescent();
    }

    /** How long a lease must be observed unchanged before it has expired. A released one is free at once. */
    private long expiresAfterMs(final Lease observed) {
        if (observed != null && observed.released()) {
            return 0;
        }
        // No lease at all may mean that one was lost with its disks while its holder still works.
        final long spanMs = observed == null ? timeouts.leaseMs() : Math.max(observed.spanMs(), timeouts.leaseMs());
        return spanMs + timeouts.safetyMarginMs();
    }

    /**
     * Rivals that saw the same lease expire acquire one after another, in an order drawn from the lease itself, so that the first
     * is done before the next begins; all at once would spend the store's time on each other's proposal numbers.
     */
    private long staggerDelayMs(final Lease expired) {
        final String salt = expired == null ? "" : expired.owner() + expired.renewal();
        final int ownRank = (context.node() + salt).hashCode();
        int rivalsAhead = 0;
        for (final Voter voter : context.proposer().voterSet().voters()) {
            final boolean rival = expired == null || !voter.name().equals(expired.holder());
            if (rival && (voter.name() + salt).hashCode() < ownRank) {
                rivalsAhead++;
            }
        }
        return rivalsAhead * timeouts.staggerMs();
    }
}
