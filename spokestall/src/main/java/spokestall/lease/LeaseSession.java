package spokestall.lease;

import java.util.Optional;

/**
 * One acquisition of the lease, and the time during which its holder may act.
 *
 * <p>The deadline counts from the time at which the holder requested the acquisition or the last renewal. A rival counts from the
 * later time at which it observed that change, so the deadline passes before the rival may acquire the lease. An uncertain session
 * stays uncertain: no later reply makes it valid again.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Times are milliseconds of the node's monotonic clock.
 */
public final class LeaseSession {
    /** The reason why a session is no longer valid. Log lines contain these names. */
    public enum EndReason {
        /** A renewal failed, was late or has an unknown outcome. */
        UNCERTAIN,
        /** The holder gave up the lease. */
        CANCELLED,
        /** The deadline passed without a renewal. */
        DEADLINE,
        /** The session reached its maximum duration. */
        MAX_RUN
    }

    private final String sessionId;
    private final String owner;
    private final long fencingToken;
    private final long endMs;
    private final CallAnnouncer calls;
    private long deadlineMs;
    private boolean uncertain;
    private boolean cancelled;

    /**
     * Creates a valid session.
     *
     * @param sessionId the id of the session in log lines
     * @param owner the owner value of this acquisition
     * @param fencingToken the fencing token of this acquisition
     * @param deadlineMs the time until which the session is valid without a renewal
     * @param endMs the time at which the session ends regardless of renewals
     * @param calls announces the calls of the session in the stored lease
     */
    public LeaseSession(
            final String sessionId,
            final String owner,
            final long fencingToken,
            final long deadlineMs,
            final long endMs,
            final CallAnnouncer calls) {
        this.sessionId = sessionId;
        this.owner = owner;
        this.fencingToken = fencingToken;
        this.deadlineMs = deadlineMs;
        this.endMs = endMs;
        this.calls = calls;
    }

    /** Returns the id of this session in log lines. */
    public String sessionId() {
        return sessionId;
    }

    /** Returns the owner value, which is unique to this acquisition. */
    public String owner() {
        return owner;
    }

    /** Returns the fencing token of this acquisition. */
    public long fencingToken() {
        return fencingToken;
    }

    /** Returns the time until which the holder may act without a further renewal. */
    public long deadlineMs() {
        return deadlineMs;
    }

    /** Returns the announcer of calls that may not arrive after a successor's. */
    public CallAnnouncer calls() {
        return calls;
    }

    /** Returns whether the holder may act at {@code nowMs}. The task checks this before each step and before it completes. */
    public boolean isValid(final long nowMs) {
        return endReason(nowMs).isEmpty();
    }

    /** Returns why the holder may not act at {@code nowMs}; empty while the session is valid. */
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

    /** Extends the deadline after a renewal. An earlier deadline than the current one has no effect. */
    void extend(final long untilMs) {
        assert !uncertain : "renewal of an uncertain session";
        deadlineMs = Math.max(deadlineMs, untilMs);
    }

    /** Ends the session permanently because this node doesn't know whether it still holds the lease. */
    void markUncertain() {
        uncertain = true;
        cancelled = true;
    }

    /** Ends the session because the holder gives up the lease. */
    void cancel() {
        cancelled = true;
    }
}
