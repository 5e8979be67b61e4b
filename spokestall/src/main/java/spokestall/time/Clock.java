package spokestall.time;

/**
 * The source of time and timers for a state machine, so that a simulator can run it in virtual time. Used on the node's event loop
 * only.
 */
public interface Clock {
    /**
     * Returns this process's monotonic time in milliseconds. Its origin is arbitrary. All durations and deadlines are taken from it.
     */
    long nowMs();

    /** Returns this machine's calendar time in milliseconds since 1970, which may be wrong and may jump. */
    long wallMs();

    /** Runs an event on the caller's event loop after a wait of so many milliseconds; a negative wait is none. */
    void after(long waitMs, Runnable event);
}
