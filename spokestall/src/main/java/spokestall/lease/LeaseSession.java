package spokestall.lease;

import java.util.Optional;

/**
 * One acquisition of the lease and the time in which its holder may act.
 *
 * <p>The deadline counts from before the acquisition, or its last renewal, was requested; so it passes before any rival, who
 * counts from after it saw the change, may acquire the lease. A session that has become uncertain stays so: no later answer makes
 * it valid again.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Times are milliseconds of the node's monotonic clock.
 */
public final class LeaseSession {
    /** Why a session is no longer valid. */
    public enum EndReason {
        /** A renewal failed, came too late or its outcome is unknown. */
        UNCERTAIN,
        /** The lease was given up. */
        CANCELLED,
        /** The lease was not renewed in time. */
        DEADLINE,
        /** The session reached its longest duration. */
        MAX_RUN
    }

    private final String sessionId;
    private final String owner;
    private final long fencingToken;
    private final long endMs;
    private long deadlineMs;
    private boolean uncertain;
    private boolean cancelled;

    /**
     * Creates a valid session.
     *
     * @param sessionId names the session in log lines
     * @param owner the owner value of this acquisition
     * @param fencingToken the fencing token of this acquisition
     * @param deadlineMs until when it is valid unless it is renewed
     * @param endMs until when it may be valid with all renewals
     */
    public LeaseSession(
            final String sessionId,
            final String owner,
            final long fencingToken,
            final long deadlineMs,
            final long endMs) {
        this.sessionId = sessionId;
        this.owner = owner;
        this.fencingToken = fencingToken;
        this.deadlineMs = deadlineMs;
        this.endMs = endMs;
    }

    /** The id by which log lines name this session. */
    public String sessionId() {
        return sessionId;
    }

    /** The owner value of this acquisition alone. */
    public String owner() {
        return owner;
    }

    /** The fencing token of this acquisition. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Until when the holder may act unless the session is renewed. */
    public long deadlineMs() {
        return deadlineMs;
    }

    /** Whether the holder may act at {@code nowMs}; to be checked before each step of the work and before its completion. */
    public boolean isValid(final long nowMs) {
        return endReason(nowMs).isEmpty();
    }

    /** Why the holder may not act at {@code nowMs}; empty while the session is valid. */
    public Optional<EndReason> endReason(final long nowMs) {
        if (uncertain) {
            return Optional.of(EndReason.UNCERTAIN);
        }
        if (cancelled) {
            return Optional.of(EndReason.CANCELLED);
        }
        if (nowMs >= deadlineMs) {
            return Optional.of(EndReason.DEADLINE);
        }
        return nowMs >= endMs ? Optional.of(EndReason.MAX_RUN) : Optional.empty();
    }

    /** Moves the deadline after a renewal; never back. */
    void extend(final long untilMs) {
        assert !uncertain : "an uncertain session was renewed";
        deadlineMs = Math.max(deadlineMs, untilMs);
    }

    /** Ends the session for good: whether the lease is still this session's is unknown. */
    void markUncertain() {
        uncertain = true;
        cancelled = true;
    }

    /** Ends the session because its lease is given up. */
    void cancel() {
        cancelled = true;
    }
}
