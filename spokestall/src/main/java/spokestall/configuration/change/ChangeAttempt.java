package spokestall.configuration.change;

import com.google.common.flogger.FluentLogger;
import spokestall.configuration.ConfigurationChange;

/**
 * One request to change the configuration, from its arrival until its result.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The result is delivered exactly once.
 */
final class ChangeAttempt {
    /** What an attempt waits for. */
    enum State {
        /** For nothing yet; the request has just arrived. */
        RECEIVED,
        /** For a confirmation, sent after the request arrived, that the configuration applied here is the newest. */
        CONFIRMING,
        /** For the end of the proposal of the next version. */
        PROPOSING,
        /** For nothing any more; the result is delivered. */
        COMPLETED;

        /** Returns whether a state may follow; a superseded proposal is followed by another or by a confirmation. */
        private boolean mayBecome(final State next) {
            return switch (this) {
                case RECEIVED -> next == CONFIRMING;
                case CONFIRMING -> next == PROPOSING || next == COMPLETED;
                case PROPOSING -> next != RECEIVED;
                case COMPLETED -> false;
            };
        }
    }

    /** Receives the one result of an attempt. */
    @FunctionalInterface
    interface Callback {
        /** Receives the result; the attempt is completed. */
        void onResult(ChangeAttempt attempt, ChangeResult result);
    }

    /** One proposal of an attempt; the attempt makes another one after a different change committed as this version. */
    record Proposal(ChangeAttempt attempt, long version, ConfigurationChange change) {}

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** What {@link #confirmedAfterMs} returns before the first confirmation. */
    private static final long NOT_CONFIRMED = -1;

    private final String changeId;
    private final ChangeDraft draft;
    private final long receivedMs;
    private final long deadlineMs;
    private final Callback callback;
    private State state = State.RECEIVED;
    private long confirmedAfterMs = NOT_CONFIRMED;
    private int proposals;
    private boolean mayBeCommitted;

    /** Creates an attempt whose times are on this node's monotonic clock. */
    ChangeAttempt(
            final String changeId,
            final ChangeDraft draft,
            final long receivedMs,
            final long deadlineMs,
            final Callback callback) {
        this.changeId = changeId;
        this.draft = draft;
        this.receivedMs = receivedMs;
        this.deadlineMs = deadlineMs;
        this.callback = callback;
    }

    String changeId() {
        return changeId;
    }

    ChangeDraft draft() {
        return draft;
    }

    long remainingMs(final long nowMs) {
        return deadlineMs - nowMs;
    }

    /** Returns how long ago the request arrived, in milliseconds. */
    long waitedMs(final long nowMs) {
        return nowMs - receivedMs;
    }

    /** Returns how long after its arrival the first confirmation came, in milliseconds; -1 if none did. */
    long confirmedAfterMs() {
        return confirmedAfterMs;
    }

    /** Returns how many proposals were made. */
    int proposals() {
        return proposals;
    }

    /** The configuration applied here was confirmed to be the newest. */
    void onConfirmed(final long nowMs) {
        if (confirmedAfterMs == NOT_CONFIRMED) {
            confirmedAfterMs = waitedMs(nowMs);
        }
    }

    State state() {
        return state;
    }

    /** Waits for a confirmation, on arrival or after a proposal was superseded. */
    void confirm() {
        transitionTo(State.CONFIRMING);
    }

    /** Begins a proposal. */
    Proposal propose(final long version, final ConfigurationChange change) {
        transitionTo(State.PROPOSING);
        proposals++;
        return new Proposal(this, version, change);
    }

    /** A proposal ended without a known outcome: its value may have been committed, or may yet be. */
    void onUndecidedProposal() {
        mayBeCommitted = true;
    }

    /** Returns the result of an attempt whose time is over. */
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
            throw new IllegalStateException("change " + changeId + " went from " + state + " to " + next);
        }
        LOG.atFine().log("event=change_attempt changeId=%s from=%s to=%s", changeId, state, next);
        state = next;
    }
}
