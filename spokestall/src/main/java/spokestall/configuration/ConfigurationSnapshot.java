package spokestall.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spokestall.message.SinceVersion;

/**
 * A complete version to start from, with the changes that committed lately. It is encoded by the order of its components.
 *
 * @param version the version
 * @param json the configuration, as UTF-8 text
 * @param changeIds the versions of some of the changes by their ids, for programs of older versions
 * @param committedChanges the changes that committed lately, the oldest first
 */
public record ConfigurationSnapshot(
        long version,
        byte[] json,
        Map<String, Long> changeIds,
        @SinceVersion(4) List<CommittedChange> committedChanges) {
    /** So many ids programs of older versions retain. */
    private static final int OLDER_IDS_MAX = 512;

    /** A snapshot that a program of an older version encoded has ids alone. */
    public ConfigurationSnapshot {
        committedChanges = committedChanges == null ? withoutTimes(changeIds) : committedChanges;
    }

    /** Creates a snapshot for programs of any version. */
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
