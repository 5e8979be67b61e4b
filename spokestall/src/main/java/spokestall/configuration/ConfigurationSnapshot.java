package spokestall.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spokestall.message.SinceVersion;

/**
 * A complete version of the configuration, with the retained committed changes. It is encoded in the order of its components.
 *
 * @param version the version number
 * @param json the configuration as UTF-8 JSON text
 * @param changeIds the versions of the newest retained changes by change id, for older program versions
 * @param committedChanges the retained committed changes, oldest first
 */
public record ConfigurationSnapshot(
        long version,
        byte[] json,
        Map<String, Long> changeIds,
        @SinceVersion(4) List<CommittedChange> committedChanges) {
    /** The number of change ids that older program versions retain. */
    private static final int OLDER_IDS_MAX = 512;

    /** Creates a snapshot. A snapshot that was encoded by an older program version has only {@code changeIds}. */
    public ConfigurationSnapshot {
        committedChanges = committedChanges == null ? withoutTimes(changeIds) : committedChanges;
    }

    /** Creates a snapshot that all program versions can read. */
    public ConfigurationSnapshot(final long version, final byte[] json, final List<CommittedChange> committedChanges) {
        this(version, json, newestIds(committedChanges), committedChanges);
    }

    private static List<CommittedChange> withoutTimes(final Map<String, Long> changeIds) {
        return changeIds.entrySet().stream()
                .map(entry -> new CommittedChange(entry.getKey(), entry.getValue(), 0))
                .toList();
    }

    private static Map<String, Long> newestIds(final List<CommittedChange> changes) {
        final Map<String, Long> ids = new LinkedHashMap<>();
        changes.subList(Math.max(0, changes.size() - OLDER_IDS_MAX), changes.size())
                .forEach(change -> ids.put(change.changeId(), change.version()));
        return ids;
    }
}
