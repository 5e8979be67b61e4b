package spokestall.usage;

import java.util.EnumSet;
import java.util.HashSet;
import java.util.Set;

/**
 * The state of one window's report in one lease session, and the cores that have sent their counts.
 *
 * <p>Not thread-safe; call only on the node's event loop. Times are milliseconds of the node's monotonic clock.
 */
final class WindowReport {
    /** The progress of a report. */
    enum State {
        /** The reporter is requesting the cores' counts; edges may still push counts. */
        CLOSING,
        /** The proposal that writes the counts to the window's register is in progress. */
        SEALING,
        /** The register holds the counts and the platform has not confirmed them: they can be sent. */
        SEALED,
        /** A call to the platform is in flight. */
        SENDING,
        /** The platform confirmed the counts; the proposal that records the confirmation is in progress. */
        RECORDING,
        /** The report has ended: the window was reported, is overdue, or must not be reported. */
        DONE;

        private Set<State> next() {
            return switch (this) {
                case CLOSING -> EnumSet.of(SEALING);
                // If the outcome of sealing is unknown, the window is sealed again: the register's first value
                // prevails.
                case SEALING -> EnumSet.of(SEALED, DONE, CLOSING);
                case SEALED -> EnumSet.of(SENDING, DONE);
                case SENDING -> EnumSet.of(RECORDING, SEALED);
                case RECORDING -> EnumSet.of(DONE);
                case DONE -> EnumSet.noneOf(State.class);
            };
        }
    }

    private static final long NEVER = -1;
    private final long window;
    private final Set<String> answeredCores = new HashSet<>();
    private State state = State.CLOSING;
    private long firstRequestMs = NEVER;
    private long lastRequestMs = NEVER;
    private SealedWindow sealed;

    WindowReport(final long window) {
        this.window = window;
    }

    long window() {
        return window;
    }

    State state() {
        return state;
    }

    /** Returns the counts in the register; null before {@link State#SEALED}. */
    SealedWindow sealed() {
        return sealed;
    }

    void transition(final State to) {
        assert state.next().contains(to)
                : "window " + window + ": invalid state transition from " + state + " to " + to;
        state = to;
    }

    /** Stores the counts in the register, which this node or an earlier holder wrote and which may already be confirmed. */
    void onSealed(final SealedWindow held) {
        sealed = held;
        transition(held.completed() ? State.DONE : State.SEALED);
    }

    void onCoreAnswered(final String core) {
        answeredCores.add(core);
    }

    int answeredCores() {
        return answeredCores.size();
    }

    void onRequested(final long nowMs) {
        lastRequestMs = nowMs;
        if (firstRequestMs == NEVER) {
            firstRequestMs = nowMs;
        }
    }

    boolean isRequested() {
        return lastRequestMs != NEVER;
    }

    long sinceFirstRequestMs(final long nowMs) {
        return nowMs - firstRequestMs;
    }

    long sinceLastRequestMs(final long nowMs) {
        return nowMs - lastRequestMs;
    }
}
