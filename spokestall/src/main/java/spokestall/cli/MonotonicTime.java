package spokestall.cli;

/** The process's monotonic clock. */
final class MonotonicTime {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private MonotonicTime() {}

    /** Returns the milliseconds since an arbitrary fixed instant; never decreases. */
    static long nowMs() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
