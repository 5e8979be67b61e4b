package spokestall.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The changes that committed lately, by id, so that a request which is repeated is acknowledged again instead of applied
 * again.
 *
 * <p>It is a function of the committed changes alone, their times included, so all nodes at a version know the same ones. A
 * change is retained for {@link #RETENTION_MS} after it committed, longer while fewer than {@link #RETAINED_MIN} followed it,
 * and at most until {@link #RETAINED_MAX} did.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class CommittedChanges {
    /** For how long an operator may repeat a request, by the times in the changes. */
    static final long RETENTION_MS = 600_000;
    /** So many are retained however old they are. */
    static final int RETAINED_MIN = 512;
    /** No more are retained, so that memory, disks and snapshots stay bounded. */
    static final int RETAINED_MAX = 2048;

    /** In the order in which they committed. */
    private final Map<String, CommittedChange> changes = new LinkedHashMap<>();

    private long newestMs;

    /** Returns the version that a change made, or null if it isn't known. */
    Long versionOf(final String changeId) {
        final CommittedChange found = changes.get(changeId);
        return found == null ? null : found.version();
    }

    /** Adds the newest change; one without a time, or an earlier one, counts as made at the time of the one before. */
    void add(final String changeId, final long version, final long acceptedMs) {
        newestMs = Math.max(newestMs, acceptedMs);
        changes.remove(changeId);
        changes.put(changeId, new CommittedChange(changeId, version, newestMs));
        evict();
    }

    private void evict() {
        final Iterator<CommittedChange> oldest = changes.values().iterator();
        while (changes.size() > RETAINED_MIN) {
            final boolean expired = oldest.next().acceptedMs() + RETENTION_MS < newestMs;
            if (!expired && changes.size() <= RETAINED_MAX) {
                return;
            }
            oldest.remove();
        }
    }

    /** Replaces all changes by those of a snapshot or of a former generation, given in the order in which they committed. */
    void replaceAll(final List<CommittedChange> others) {
        changes.clear();
        newestMs = 0;
        others.forEach(other -> add(other.changeId(), other.version(), other.acceptedMs()));
    }

    /** Returns a copy of all that are known, the oldest first. */
    List<CommittedChange> all() {
        return List.copyOf(changes.values());
    }
}
