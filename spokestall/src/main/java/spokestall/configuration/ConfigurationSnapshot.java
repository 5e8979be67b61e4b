package spokestall.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spokestall.message.SinceVersion;

/** A whole version with the orders that were accepted lately, to start from; older programs read some of their ids. */
public record ConfigurationSnapshot(
        long version,
        byte[] json,
        Map<String, Long> changeIds,
        @SinceVersion(4) List<CommittedChange> orders) {
    /** So many ids programs of the older versions keep. */
    private static final int IDS_BEFORE = 512;

    /** What an older program wrote has ids alone. */
    public ConfigurationSnapshot {
        orders = orders == null ? untimed(changeIds) : orders;
    }

    /** Example: {@code new ConfigurationSnapshot(17, json, orders)} */
    public ConfigurationSnapshot(final long version, final byte[] json, final List<CommittedChange> orders) {
        this(version, json, ids(orders), orders);
    }

    private static List<CommittedChange> untimed(final Map<String, Long> changeIds) {
        return changeIds.entrySet().stream()
                .map(e -> new CommittedChange(e.getKey(), e.getValue(), 0))
                .toList();
    }

    private static Map<String, Long> ids(final List<CommittedChange> orders) {
        final Map<String, Long> ids = new LinkedHashMap<>();
        orders.subList(Math.max(0, orders.size() - IDS_BEFORE), orders.size())
                .forEach(o -> ids.put(o.changeId(), o.version()));
        return ids;
    }
}
