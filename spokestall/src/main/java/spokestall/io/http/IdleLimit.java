package spokestall.io.http;

/**
 * How long a client's connection may rest. A limit that is lowered counts only when a rest that was begun under the
 * older one is over, so that no client is cut short that kept to what it knew.
 */
final class IdleLimit {
    private long limitMs;
    private long previousMs;
    private long previousUntilMs;

    IdleLimit(final long limitMs, final long nowMs) {
        this.limitMs = limitMs;
        this.previousMs = limitMs;
        this.previousUntilMs = nowMs;
    }

    synchronized void change(final long newMs, final long nowMs) {
        if (newMs == limitMs) {
            return;
        }
        previousMs = currentMs(nowMs);
        previousUntilMs = nowMs + previousMs;
        limitMs = newMs;
    }

    synchronized long currentMs(final long nowMs) {
        return nowMs < previousUntilMs ? Math.max(limitMs, previousMs) : limitMs;
    }
}
