package spokestall.time;

/** Where a state machine gets its time and its later events from. Spans are always taken from {@link #nowMs}. */
public interface Clock {
    /** Monotonic time of this process. */
    long nowMs();

    /** The machine's own calendar clock, which may jump. */
    long wallMs();

    /** Runs an event later on the client's stage. */
    void after(long waitMs, Runnable event);
}
