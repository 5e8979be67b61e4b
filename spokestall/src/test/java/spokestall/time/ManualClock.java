package spokestall.time;

/** A clock that tests advance manually, for code that starts no timers or whose timers need not fire. */
public final class ManualClock implements Clock {
    private long monotonicMs;
    private long calendarMs;
    private boolean ignoresTimers;

    /** Creates a clock whose monotonic time and wall-clock time both start at {@code startMs}. */
    public ManualClock(final long startMs) {
        this(startMs, startMs);
    }

    /** Creates a clock with separate start values of the monotonic time and the wall-clock time, in milliseconds. */
    public ManualClock(final long monotonicMs, final long calendarMs) {
        this.monotonicMs = monotonicMs;
        this.calendarMs = calendarMs;
    }

    /** Advances both times by {@code spanMs} milliseconds. */
    public void advance(final long spanMs) {
        monotonicMs += spanMs;
        calendarMs += spanMs;
    }

    /** Accepts timers from now on but never fires them. Before this call, starting a timer fails the test. */
    public void ignoreTimers() {
        ignoresTimers = true;
    }

    @Override
    public long nowMs() {
        return monotonicMs;
    }

    @Override
    public long wallMs() {
        return calendarMs;
    }

    @Override
    public void after(final long waitMs, final Runnable event) {
        if (!ignoresTimers) {
            throw new AssertionError("timer started on a manual clock that doesn't accept timers");
        }
    }
}
