package spokestall.time;

/** A clock that a test moves by hand, for what starts no timers, or none that go off. */
public final class ManualClock implements Clock {
    private long monotonicMs;
    private long calendarMs;
    private boolean ignoresTimers;

    /** Both times begin at the same value. */
    public ManualClock(final long startMs) {
        this(startMs, startMs);
    }

    /** Example: {@code new ManualClock(0, 50_000)} */
    public ManualClock(final long monotonicMs, final long calendarMs) {
        this.monotonicMs = monotonicMs;
        this.calendarMs = calendarMs;
    }

    /** Lets time pass. */
    public void advance(final long spanMs) {
        monotonicMs += spanMs;
        calendarMs += spanMs;
    }

    /** Timers may be started from now on; none goes off. */
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
            throw new AssertionError("a timer was started on a clock without timers");
        }
    }
}
