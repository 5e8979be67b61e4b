package spokestall.time;

/**
 * Source of time and timers for state machines, which allows a simulator to run them in virtual time. Used only on the node's event
 * loop.
 */
public interface Clock {
    /**
     * Returns this process's monotonic time in milliseconds, from an arbitrary origin. All durations and deadlines are based on it.
     */
    long nowMs();

    /** Returns this machine's wall-clock time in milliseconds since 1970, which may be wrong and may jump. */
    long wallMs();

    /** Runs an event on the caller's event loop after {@code waitMs} milliseconds; a negative value counts as 0. */
    void after(long waitMs, Runnable event);
}
