package spokestall.usage;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A push of counts that a majority of the cores has not acknowledged yet. It names the counts; their values are read anew each
 * time it is sent, since they only grow. Not thread-safe.
 */
final class PendingPush {
    private final Map<Long, Set<String>> tenantsByWindow;
    private final long oldestMs;
    private final Set<String> acknowledgedBy = new HashSet<>();
    private long sentMs;

    /** A push of these counts, of which the oldest change was made at {@code oldestMs}. */
    PendingPush(final Map<Long, Set<String>> tenantsByWindow, final long oldestMs) {
        this.tenantsByWindow = tenantsByWindow;
        this.oldestMs = oldestMs;
    }

    Map<Long, Set<String>> tenantsByWindow() {
        return tenantsByWindow;
    }

    long oldestMs() {
        return oldestMs;
    }

    long sentMs() {
        return sentMs;
    }

    void onSent(final long nowMs) {
        sentMs = nowMs;
    }

    /** Notes a core's acknowledgement; false if it had acknowledged already. */
    boolean onAcknowledged(final String core) {
        return acknowledgedBy.add(core);
    }

    boolean isAcknowledgedBy(final String core) {
        return acknowledgedBy.contains(core);
    }

    int acknowledgements() {
        return acknowledgedBy.size();
    }

    /** Whether it has counts, all of windows before {@code oldestKept}. */
    boolean isOutdated(final long oldestKept) {
        return !tenantsByWindow.isEmpty() && tenantsByWindow.keySet().stream().allMatch(w -> w < oldestKept);
    }
}
