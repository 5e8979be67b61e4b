package spokestall.configuration.change;

import com.google.common.flogger.FluentLogger;
import java.util.OptionalLong;
import spokestall.configuration.ConfigurationChange;

/**
 * A request to change the configuration, from its arrival to its result.
 *
 * <p>Not thread-safe; call only on the node's event loop. The result is delivered exactly once.
 */
final class ChangeAttempt {
    /** The progress of an attempt. */
    enum State {
        /** The request has arrived and processing has not started. */
        RECEIVED,
        /** Waits for confirmation that this node has applied the newest version, by a round sent after the request arrived. */
        CONFIRMING,
        /** Waits for the outcome of proposing the change as the next version. */
        PROPOSING,
        /** The result has been delivered. */
        COMPLETED;

        /** Returns whether this state may change to {@code next}. A superseded attempt proposes or confirms again. */
        private boolean mayBecome(final State next) {
            return switch (this) {
                case RECEIVED -> next == CONFIRMING;
                case CONFIRMING -> next == PROPOSING || next == COMPLETED;
                case PROPOSING -> next != RECEIVED;
                case COMPLETED -> false;
            };
        }
    }

    /** Receives the result of an attempt, exactly once. */
    @FunctionalInterface
    interface Callback {
        /** Receives the result, after the attempt has become {@link State#COMPLETED}. */
        void onResult(ChangeAttempt attempt, ChangeResult result);
    }

    /** A proposal of an attempt. If a different change commits as this version, the attempt may make another proposal. */
    record Proposal(ChangeAttempt attempt, long version, ConfigurationChange change) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The value of {@link #confirmedAfterMs} before the first confirmation. */
    private static final long NOT_CONFIRMED = -1;

    private final String changeId;
    private final OptionalLong unchangedSince;
    private final ChangeDraft draft;
    private final long receivedMs;
    private final long deadlineMs;
    private final Callback callback;
    private State state = State.RECEIVED;
    private long confirmedAfterMs = NOT_CONFIRMED;
    private int proposals;
    private boolean mayBeCommitted;

    /**
     * Creates an attempt; its times are on this node's monotonic clock.
     *
     * @param unchangedSince the version after which no conflicting change may have committed, if the request has a precondition
     */
    ChangeAttempt(
            final String changeId,
            final OptionalLong unchangedSince,
            final ChangeDraft draft,
            final long receivedMs,
            final long deadlineMs,
            final Callback callback) {
        this.changeId = changeId;
        this.unchangedSince = unchangedSince;
        this.draft = draft;
        this.receivedMs = receivedMs;
        this.deadlineMs = deadlineMs;
        this.callback = callback;
    }

    String changeId() {
        return changeId;
    }

    /** Returns the version after which no conflicting change may have committed, if the request has a precondition. */
    OptionalLong unchangedSince() {
        return unchangedSince;
    }

    ChangeDraft draft() {
        return draft;
    }

    long remainingMs(final long nowMs) {
        return deadlineMs - nowMs;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    long waitedMs(final long nowMs) {
        return nowMs - receivedMs;
    }

    /** Returns the time from the request's arrival to the first confirmation, in milliseconds; -1 before it. */
    long confirmedAfterMs() {
        return confirmedAfterMs;
    }

    /** Returns the number of proposals made so far. */
    int proposals() {
        return proposals;
    }

    /** Records a confirmation that this node has applied the newest version; only the first one counts. */
    void onConfirmed(final long nowMs) {
        if (confirmedAfterMs == NOT_CONFIRMED) {
            confirmedAfterMs = waitedMs(nowMs);
        }
    }

    State state() {
        return state;
    }

    /** Starts waiting for a confirmation: on arrival, or after a proposal that did not commit the change. */
    void startConfirming() {
        transitionTo(State.CONFIRMING);
    }

    /** Starts a proposal. */
    Proposal propose(final long version, final ConfigurationChange change) {
        transitionTo(State.PROPOSING);
        proposals++;
        return new Proposal(this, version, change);
    }

    /** Records that a proposal ended with an unknown outcome: its value may already be committed, or may commit later. */
    void onUndecidedProposal() {
        mayBeCommitted = true;
    }

    /** Returns the result to deliver when the attempt reaches its deadline. */
    ChangeResult timeoutResult() {
        return mayBeCommitted ? new ChangeResult.Undecided() : new ChangeResult.NotReady();
    }

    /** Delivers the result. */
    void complete(final ChangeResult result) {
        transitionTo(State.COMPLETED);
        callback.onResult(this, result);
    }

    private void transitionTo(final State next) {
        if (!state.mayBecome(next)) {
            throw new IllegalStateException(
                    "change " + changeId + ": invalid state transition from " + state + " to " + next);
        }
        LOG.atFine().log("event=change_attempt changeId=%s from=%s to=%s", changeId, state, next);
        state = next;
    }
}
