package spokestall.lease;

/** One acquisition and the work done under it. Once uncertain it stays so; nothing brings it back. */
public final class LeaseSession {
    private final String executionId;
    private final String owner;
    private final long token;
    private final long endMs;
    private long deadlineMs;
    private boolean uncertain;
    private boolean cancelled;

    public LeaseSession(
            final String executionId, final String owner, final long token, final long deadlineMs, final long endMs) {
        this.executionId = executionId;
        this.owner = owner;
        this.token = token;
        this.deadlineMs = deadlineMs;
        this.endMs = endMs;
    }

    /** Example: {@code log("executionId=" + execution.executionId())} */
    public String executionId() {
        return executionId;
    }

    /** The owner value of this acquisition alone. */
    public String owner() {
        return owner;
    }

    /** The fence token of this acquisition. */
    public long token() {
        return token;
    }

    /** Until when work may be begun. */
    public long deadlineMs() {
        return deadlineMs;
    }

    /** Asked before each unit of work and before completion. */
    public boolean mayWork(final long nowMs) {
        return why(nowMs) == null;
    }

    /** Why no work may be begun, or null. */
    public String why(final long nowMs) {
        return uncertain
                ? "uncertain"
                : cancelled ? "cancelled" : nowMs >= deadlineMs ? "deadline" : nowMs >= endMs ? "runtime" : null;
    }

    void renewed(final long untilMs) {
        assert !uncertain : "an uncertain execution was renewed";
        deadlineMs = Math.max(deadlineMs, untilMs);
    }

    void doubt() {
        uncertain = true;
        cancelled = true;
    }

    void cancel() {
        cancelled = true;
    }

    boolean over(final long nowMs) {
        return nowMs >= endMs;
    }
}
