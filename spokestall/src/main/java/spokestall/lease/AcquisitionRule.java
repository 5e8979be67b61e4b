package spokestall.lease;

import spokestall.consensus.Voter;
import spokestall.time.Clock;

/**
 * Decides whether this node may acquire the lease that it observes.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class AcquisitionRule {
    private final LeaseContext context;
    private final Clock clock;
    private final LeaseTimeouts timeouts;
    private final LeasedTask task;

    /**
     * The last time at which this node may have acted as the holder. Initially the time of this node's start, since an earlier
     * incarnation may have held the lease until then.
     */
    private long lastHeldMs;

    /** The owner value of the last session that ended in this incarnation, or null if none has. */
    private String lastEndedOwner;

    AcquisitionRule(final LeaseContext context, final LeaseTimeouts timeouts, final LeasedTask task) {
        this.context = context;
        this.clock = context.clock();
        this.timeouts = timeouts;
        this.task = task;
        this.lastHeldMs = clock.nowMs();
    }

    /** Records the end of a session of this node, at the current time. */
    void onSessionEnded(final LeaseSession session) {
        lastHeldMs = clock.nowMs();
        lastEndedOwner = session.owner();
    }

    /** Returns whether this node may acquire the observed lease now. */
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
     * Returns whether the lease names this node as its holder but no session of this node uses it: an acquisition with an unknown
     * outcome or an earlier incarnation stored it. No task acts under such a lease and no other node has acquired it since, so this
     * node need not wait for its expiry.
     *
     * <p>False for a lease whose session ended in this incarnation, which this node leaves to other nodes, and for a lease of an
     * older generation, since a later change of it may have been lost with a majority of the voters. Also false while a call of the
     * task may still arrive.
     */
    private boolean isOwnUnusedLease(final Lease observed) {
        return observed != null
                && observed.holder().equals(context.node())
                && !observed.owner().equals(lastEndedOwner)
                && observed.fencingToken() >= context.proposer().voterSet().firstNumber()
                && task.isQuiescent();
    }

    /** Returns how long a lease must be observed unchanged before it counts as expired. A released lease is free at once. */
    private long expiresAfterMs(final Lease observed) {
        if (observed != null && observed.released()) {
            return 0;
        }
        // An absent lease may have been lost with the disks that stored it while its holder still acts under it.
        final long spanMs = observed == null ? timeouts.leaseMs() : Math.max(observed.spanMs(), timeouts.leaseMs());
        return spanMs + timeouts.safetyMarginMs();
    }

    /**
     * Returns how long this node waits after the expiry, so that rivals that saw the same lease expire try to acquire it one after
     * another and the first one finishes before the next one starts. Simultaneous attempts would outrank each other's proposal
     * numbers. A hash of the node name and the lease determines the order.
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
