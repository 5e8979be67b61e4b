package spokestall.usage;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A push of counts that a majority of the cores has not acknowledged yet. It stores only which counts to push; their values are
 * read each time the push is sent, because counts only increase. Not thread-safe.
 */
final class PendingPush {
    private final Map<Long, Set<String>> tenantsByWindow;
    private final long oldestMs;
    private final Set<String> acknowledgedBy = new HashSet<>();
    private long sentMs;

    /** Creates a push of the given tenants' counts by window; their oldest change was made at {@code oldestMs}. */
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

    /** Records a core's acknowledgement; returns false if the core had already acknowledged the push. */
    boolean onAcknowledged(final String core) {
        return acknowledgedBy.add(core);
    }

    boolean isAcknowledgedBy(final String core) {
        return acknowledgedBy.contains(core);
    }

    int acknowledgements() {
        return acknowledgedBy.size();
    }

    /** Returns whether the push has counts and all of them are of windows before {@code oldestKept}. */
    boolean isOutdated(final long oldestKept) {
        return !tenantsByWindow.isEmpty() && tenantsByWindow.keySet().stream().allMatch(w -> w < oldestKept);
    }
}
