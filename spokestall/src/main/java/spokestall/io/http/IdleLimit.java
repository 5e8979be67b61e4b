package spokestall.io.http;

/**
 * How long a client's connection may rest. A limit that is lowered counts only when a rest that was begun under the
 * older one is over, so that no client is cut short that kept to what it knew.
 */
final class IdleLimit {
    private long limitMs;
    private long olderMs;
    private long olderUntilMs;

    IdleLimit(final long limitMs, final long nowMs) {
        this.limitMs = limitMs;
        this.olderMs = limitMs;
        this.olderUntilMs = nowMs;
    }

    synchronized void change(final long newerMs, final long nowMs) {
        if (newerMs == limitMs) {
            return;
        }
        olderMs = atMs(nowMs);
        olderUntilMs = nowMs + olderMs;
        limitMs = newerMs;
    }

    synchronized long atMs(final long nowMs) {
        return nowMs < olderUntilMs ? Math.max(limitMs, olderMs) : limitMs;
    }
}
