package spokestall.time;

/** Where a state machine gets its time and its later events from. Spans are always taken from {@link #nowMs}. */
public interface Clock {
    /** Monotonic time of this process. Example: {@code long begunMs = clock.nowMs();} */
    long nowMs();

    /** The machine's own calendar clock, which may jump. Example: {@code fleet.start(clock.wallMs());} */
    long wallMs();

    /** Runs an event later on the caller's stage. Example: {@code clock.after(200, this::tick);} */
    void after(long waitMs, Runnable event);
}
