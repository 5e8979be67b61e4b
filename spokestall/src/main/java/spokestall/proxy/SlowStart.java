package spokestall.proxy;

/** The rate at which this edge may send to one upstream that is warming up: its part of the upstream's ramp, a few in advance at most. */
final class SlowStart {
    private double tokens;
    private long filledMs;
    private long spent;

    SlowStart(final long nowMs) {
        this.filledMs = nowMs;
    }

    /** {@code perS} is this edge's part of the ramp at this age, in requests a second. */
    boolean spend(final long nowMs, final double perS, final double burst) {
        tokens = Math.min(burst, tokens + perS * Math.max(0, nowMs - filledMs) / 1000.0);
        filledMs = nowMs;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        spent++;
        return true;
    }

    /** How many attempts were allowed so far. */
    long spent() {
        return spent;
    }
}
