package spokestall.io.http;

/**
 * The idle timeout of clients' connections. A raised timeout applies at once. A lowered one applies only after the previous timeout
 * has elapsed, so that a connection that became idle under the previous timeout gets all of it. Thread-safe.
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
