package spokestall.lease;

import com.google.common.flogger.FluentLogger;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.time.Clock;

/**
 * Acquires, renews and releases the lease of one singleton role.
 *
 * <p>The lease is the value of a consensus register ("the store" below). An acquisition, a renewal and a release are each a
 * compare-and-set on the lease's owner.
 *
 * <ul>
 *   <li><b>No common clock.</b> A register does not expire by itself. A rival acquires a lease only after it has observed the same
 *       owner and renewal for the lease's span plus a safety margin on its own monotonic clock, and only if the store still has
 *       that owner and renewal when the acquisition is applied. A rival watches an absent lease for the same time. The holder's
 *       deadline counts from before it requested its last change and is a safety margin earlier, so the deadline has passed by
 *       then.
 *   <li><b>Stored before valid.</b> A session starts only once a majority has stored its owner value, and only if the outcome
 *       arrives within the store timeout. After a late or unknown outcome, no task ever acts under that owner value.
 *   <li><b>No revival.</b> A renewal that fails, is late or has an unknown outcome ends the session permanently.
 *   <li><b>Fencing.</b> Each acquisition stores a token higher than the register's current one and higher than the first number of
 *       the voter set's generation, in the same change as the owner. Tokens therefore increase with each acquisition, even after
 *       the register was lost.
 *   <li><b>Calls.</b> A call is announced in the lease before it is made. As long as it is, the lease's span is longer, so that no
 *       rival acts while a call of a frozen or cut-off holder may be held up on its way.
 *   <li><b>Release.</b> The holder waits for the end of its calls, and releases the lease at once only if none of them may still
 *       arrive; otherwise it waits until the lease would have expired.
 * </ul>
 *
 * <p>Not thread-safe; all calls, including those to the {@link LeasedTask}, run on the node's event loop.
 */
public final class LeaseManager {
    /** The states of a manager. The status reply to operators contains these names. */
    public enum State {
        /** Observes the lease of another node, or its absence. */
        WATCHING,
        /** Has requested the change that acquires the lease and waits for its outcome. */
        ACQUIRING,
        /** Holds the lease in a session of this node. */
        HOLDING,
        /**
         * Has cancelled the session, or is told to stop; waits for the end of the session's calls, then for the change that releases
         * the lease.
         */
        RELEASING,
        /** Has given up the role permanently. */
        STOPPED;

        private Set<State> next() {
            return switch (this) {
                case WATCHING -> EnumSet.of(ACQUIRING, STOPPED);
                case ACQUIRING -> EnumSet.of(HOLDING, WATCHING, RELEASING, STOPPED);
                case HOLDING -> EnumSet.of(RELEASING);
                case RELEASING -> EnumSet.of(WATCHING, STOPPED);
                // Stop may be called again.
                case STOPPED -> EnumSet.of(STOPPED);
            };
        }
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final LeaseContext context;
    private final String key;
    private final Proposer proposer;
    private final Clock clock;
    private final LeaseTimeouts timeouts;
    private final LeasedTask task;
    private final LeaseReplica replica;
    private final LeaseWatch watch;
    private final AcquisitionRule acquisitionRule;
    private State state = State.WATCHING;
    private boolean readInFlight;
    private boolean renewalInFlight;
    private long renewalRequestedMs;
    private LeaseSession session;
    /** The calls of {@link #session}; null if there is no session. */
    private SessionCalls calls;

    private boolean releaseRequested;
    /** When no call of the ended session was in flight any more. */
    private long callsEndedMs;

    private Runnable onStopped;

    /**
     * Creates a manager that watches the lease.
     *
     * @param replica this node's copy of the register, or {@link LeaseReplica#NONE}
     */
    public LeaseManager(
            final LeaseContext context,
            final LeaseTimeouts timeouts,
            final LeasedTask task,
            final LeaseReplica replica) {
        this.context = context;
        this.key = Lease.key(context.role());
        this.proposer = context.proposer();
        this.clock = context.clock();
        this.timeouts = timeouts;
        this.task = task;
        this.replica = replica;
        this.watch = new LeaseWatch(context.clock());
        this.acquisitionRule = new AcquisitionRule(context, timeouts, task);
    }

    /** Returns the state. */
    public State state() {
        return state;
    }

    /** Returns the lease as last observed in the store, or null if it was absent or has not been observed. */
    public Lease observedLease() {
        return watch.observed();
    }

    /** Returns the current session, or the one whose lease is being released; null if there is neither. */
    public LeaseSession session() {
        return session;
    }

    /**
     * Observes the lease in state WATCHING; checks and renews the session in state HOLDING; releases the lease in state RELEASING once
     * no call is in flight.
     */
    public void onTick() {
        switch (state) {
            case WATCHING -> observe();
            case HOLDING -> renewOrEnd();
            case RELEASING -> releaseOnceCallsEnded();
            case ACQUIRING, STOPPED -> {}
        }
    }

    /**
     * Gives up the role permanently. Cancels the session at once, and releases its lease once no call is in flight. An acquisition
     * that is in flight starts no session, and its lease is released.
     *
     * @param done runs once the release has ended, successfully or not, or at once if there is nothing to release
     */
    public void stop(final Runnable done) {
        onStopped = done;
        switch (state) {
            case HOLDING -> release("stop");
            case RELEASING -> releaseOnceCallsEnded();
            case WATCHING, STOPPED -> onStopComplete("stop");
            case ACQUIRING -> {}
        }
    }

    private void onStopComplete(final String reason) {
        transitionTo(State.STOPPED, reason);
        onStopped.run();
    }

    private void transitionTo(final State to, final String reason) {
        assert state.next().contains(to) : "lease of " + context.role() + " from " + state + " to " + to;
        LOG.atInfo().log(
                "event=lease_state_changed node=%s role=%s from=%s to=%s reason=%s sessionId=%s fencingToken=%s",
                context.node(),
                context.role(),
                state,
                to,
                reason,
                session == null ? "none" : session.sessionId(),
                session == null ? 0 : session.fencingToken());
        state = to;
    }

    private void observe() {
        if (readInFlight || proposer.voterSet() == null) {
            return;
        }
        final Register copy = replica.current();
        if (copy != null) {
            watch.onReplica(LeaseEdits.decode(copy.value()));
        }
        if (copy != null && !watch.needsStoreRead() && !acquisitionRule.mayAcquire(watch)) {
            return;
        }
        readInFlight = true;
        proposer.read(key, timeouts.storeTimeoutMs(), this::onRead);
    }

    private void onRead(final ProposalOutcome outcome) {
        readInFlight = false;
        if (state == State.WATCHING && outcome instanceof ProposalOutcome.Committed committed) {
            watch.onStoreRead(LeaseEdits.decode(committed.value()));
            if (acquisitionRule.mayAcquire(watch)) {
                acquire();
            }
        }
    }

    private void acquire() {
        final long requestedMs = clock.nowMs();
        final Lease expired = watch.observed();
        final String owner =
                context.node() + "/" + Long.toHexString(context.random().nextLong());
        final String sessionId = Long.toHexString(context.random().nextLong());
        session = null;
        transitionTo(State.ACQUIRING, acquisitionReason(expired));
        proposer.propose(
                key,
                timeouts.storeTimeoutMs(),
                value -> LeaseEdits.acquire(
                        value, owned(owner), expired, proposer.voterSet().firstNumber()),
                outcome -> onAcquired(outcome, owner, sessionId, requestedMs));
    }

    /** Returns this node's lease of an owner value, without a fencing token yet. */
    private Lease owned(final String owner) {
        return new Lease(owner, context.node(), 0, 0, timeouts.leaseMs(), false);
    }

    private String acquisitionReason(final Lease expired) {
        if (expired == null) {
            return "no_lease";
        }
        if (expired.holder().equals(context.node())) {
            return "own_lease";
        }
        return expired.released() ? "released" : "expired";
    }

    private void onAcquired(
            final ProposalOutcome outcome, final String owner, final String sessionId, final long requestedMs) {
        final long nowMs = clock.nowMs();
        watch.reset();
        if (outcome instanceof ProposalOutcome.Committed committed && committed.value() != null) {
            final Lease current = LeaseEdits.decode(committed.value());
            watch.restart(current);
            if (committed.wrote()
                    && current.owner().equals(owner)
                    && nowMs - requestedMs <= timeouts.storeTimeoutMs()) {
                calls = new SessionCalls(this::renewForCalls);
                session = new LeaseSession(
                        sessionId,
                        owner,
                        current.fencingToken(),
                        timeouts.deadlineMs(requestedMs),
                        requestedMs + timeouts.maxSessionMs(),
                        calls);
                if (onStopped != null) {
                    release("stop");
                    return;
                }
                renewalRequestedMs = nowMs;
                transitionTo(State.HOLDING, "acquired");
                task.onSessionStarted(session);
                return;
            }
        }
        if (onStopped != null) {
            onStopComplete("stop");
            return;
        }
        // No session starts after a rejected, late or unknown outcome. If the acquisition was stored nevertheless,
        // the next read returns it and the watch starts again from there.
        transitionTo(State.WATCHING, outcome instanceof ProposalOutcome.Committed ? "not_acquired" : "outcome_unknown");
    }

    /** Ends the session if it is no longer valid; otherwise renews its lease when the renewal interval has passed. */
    private void renewOrEnd() {
        final long nowMs = clock.nowMs();
        final Optional<LeaseSession.EndReason> endReason = session.endReason(nowMs);
        if (endReason.isPresent()) {
            release(endReason.get().name());
        } else if (!renewalInFlight && nowMs - renewalRequestedMs >= timeouts.renewIntervalMs()) {
            renew(session);
        }
    }

    /** Renews the lease at once if that announces a call, or the end of the last one. */
    private void renewForCalls() {
        if (state == State.HOLDING && !renewalInFlight && calls.needsRenewal() && session.isValid(clock.nowMs())) {
            renew(session);
        }
    }

    private void renew(final LeaseSession renewedSession) {
        renewalInFlight = true;
        final List<Consumer<Boolean>> announced = calls.onRenewalRequested();
        final long spanMs = calls.spanMs(clock.nowMs(), timeouts);
        final long requestedMs = clock.nowMs();
        renewalRequestedMs = requestedMs;
        proposer.propose(
                key,
                timeouts.storeTimeoutMs(),
                value -> LeaseEdits.ifOwned(value, renewedSession.owner(), now -> now.renewed(spanMs)),
                outcome -> onRenewed(renewedSession, outcome, requestedMs, announced));
    }

    private void onRenewed(
            final LeaseSession renewedSession,
            final ProposalOutcome outcome,
            final long requestedMs,
            final List<Consumer<Boolean>> announced) {
        renewalInFlight = false;
        final boolean extended = isRenewed(renewedSession, outcome, requestedMs);
        if (renewedSession != session || state != State.HOLDING) {
            announced.forEach(call -> call.accept(false));
            return;
        }
        if (extended) {
            renewedSession.extend(timeouts.deadlineMs(requestedMs));
            announced.forEach(call -> call.accept(true));
            renewForCalls();
        } else {
            announced.forEach(call -> call.accept(false));
            renewedSession.markUncertain();
            release("renewal_failed");
        }
    }

    /** Returns whether the renewal is stored, its outcome arrived in time, and the new deadline has not passed yet. */
    private boolean isRenewed(
            final LeaseSession renewedSession, final ProposalOutcome outcome, final long requestedMs) {
        final long nowMs = clock.nowMs();
        final boolean stored = outcome instanceof ProposalOutcome.Committed committed
                && committed.wrote()
                && LeaseEdits.decode(committed.value()).owner().equals(renewedSession.owner());
        final boolean timely = nowMs - requestedMs <= timeouts.storeTimeoutMs() && renewedSession.isValid(nowMs);
        return stored && timely && timeouts.deadlineMs(requestedMs) > nowMs;
    }

    /** Ends the session, and releases its lease once no call of the task is in flight. */
    private void release(final String reason) {
        session.cancel();
        acquisitionRule.onSessionEnded(session);
        releaseRequested = false;
        callsEndedMs = Long.MAX_VALUE;
        transitionTo(State.RELEASING, reason);
        calls.onSessionEnded();
        releaseOnceCallsEnded();
    }

    /**
     * Releases the lease of the ended session if none of its calls may still arrive. Otherwise, since their connections have been reset,
     * releases it once it would have expired without a call in flight. A manager that is told to stop doesn't wait for that.
     */
    private void releaseOnceCallsEnded() {
        if (releaseRequested || task.hasCallInFlight()) {
            return;
        }
        final long nowMs = clock.nowMs();
        callsEndedMs = Math.min(callsEndedMs, nowMs);
        if (task.isQuiescent()) {
            proposeLast(Lease::release, "released");
        } else if (nowMs >= expiresMs()) {
            proposeLast(Lease::release, "expired");
        } else if (onStopped != null) {
            proposeLast(current -> current.renewed(timeouts.leaseMs()), "calls_unconfirmed");
        }
    }

    /** Returns when a rival could have acquired the lease if no call had been announced, but not before the calls' end. */
    private long expiresMs() {
        final long leaseEndMs = session.deadlineMs() + timeouts.safetyMarginMs();
        return Math.max(leaseEndMs, callsEndedMs) + timeouts.safetyMarginMs();
    }

    /** Proposes the last change of the ended session's lease. */
    private void proposeLast(final UnaryOperator<Lease> change, final String reason) {
        releaseRequested = true;
        acquisitionRule.onSessionEnded(session);
        final LeaseSession endedSession = session;
        proposer.propose(
                key,
                timeouts.storeTimeoutMs(),
                value -> LeaseEdits.ifOwned(value, endedSession.owner(), change),
                outcome -> onReleaseEnded(outcome instanceof ProposalOutcome.Committed ? reason : "outcome_unknown"));
    }

    private void onReleaseEnded(final String reason) {
        watch.reset();
        if (onStopped == null) {
            transitionTo(State.WATCHING, reason);
            session = null;
        } else {
            onStopComplete(reason);
            session = null;
        }
    }
}
