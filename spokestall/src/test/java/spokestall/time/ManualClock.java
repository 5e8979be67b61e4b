package spokestall.time;

/** A clock that a test moves by hand, for what starts no timers. */
public final class ManualClock implements Clock {
    private long monotonicMs;
    private long calendarMs;

    /** Both times begin at the same value. Example: {@code new ManualClock(1_000_000)} */
    public ManualClock(final long startMs) {
        this(startMs, startMs);
    }

    /** Example: {@code new ManualClock(0, 50_000)} */
    public ManualClock(final long monotonicMs, final long calendarMs) {
        this.monotonicMs = monotonicMs;
        this.calendarMs = calendarMs;
    }

    /** Lets time pass. Example: {@code clock.advance(100);} */
    public void advance(final long spanMs) {
        monotonicMs += spanMs;
        calendarMs += spanMs;
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
        throw new AssertionError("a timer was started on a clock without timers");
    }
}
