package spokestall.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The most recently committed changes by id. They let a node acknowledge a repeated request again instead of applying it twice.
 *
 * <p>Retention depends only on the committed changes, including their times, so all nodes at the same version retain the same
 * changes. A change is retained for {@link #RETENTION_MS} after it commits, longer if fewer than {@link #RETAINED_MIN} changes
 * follow it, and no longer than until {@link #RETAINED_MAX} changes follow it.
 *
 * <p>Not thread-safe; call only on the node's event loop.
 */
final class CommittedChanges {
    /** The time for which an operator may repeat a request, measured by the times in the changes. */
    static final long RETENTION_MS = 600_000;
    /** The number of changes that are retained regardless of their age. */
    static final int RETAINED_MIN = 512;
    /** The maximum number of retained changes, which limits memory, disk space and snapshot size. */
    static final int RETAINED_MAX = 2048;

    /** The retained changes by id, in commit order. */
    private final Map<String, CommittedChange> changes = new LinkedHashMap<>();

    private long newestMs;

    /** Returns the version that a change created, or null if the change isn't retained. */
    Long versionOf(final String changeId) {
        final CommittedChange found = changes.get(changeId);
        return found == null ? null : found.version();
    }

    /** Adds the newest change. A change without a time, or with an earlier one, gets the time of the previous change. */
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

    /** Replaces all changes with those of a snapshot or of an earlier generation, which must be in commit order. */
    void replaceAll(final List<CommittedChange> others) {
        changes.clear();
        newestMs = 0;
        others.forEach(other -> add(other.changeId(), other.version(), other.acceptedMs()));
    }

    /** Returns a copy of all retained changes, oldest first. */
    List<CommittedChange> all() {
        return List.copyOf(changes.values());
    }
}
