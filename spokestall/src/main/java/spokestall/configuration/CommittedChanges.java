package spokestall.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which orders were accepted lately, and as which versions, so that one that is sent again is confirmed again. It is made
 * of the agreed changes alone, their times too, so all nodes at a version know the same orders. An order is known for
 * {@link #KEPT_MS} after it was accepted, longer while fewer than {@link #KEPT_LEAST} came after it, and at most until
 * {@link #KEPT_MOST} did.
 */
final class CommittedChanges {
    /** For how long an operator may send an order again, by the times in the changes. */
    static final long KEPT_MS = 600_000;
    /** So many are known however old they are. */
    static final int KEPT_LEAST = 512;
    /** No more are known, so that memory, disks and snapshots stay bounded. */
    static final int KEPT_MOST = 2048;

    private final Map<String, CommittedChange> orders = new LinkedHashMap<>();
    private long newestMs;

    /** The version that an order became, or null. */
    Long versionOf(final String changeId) {
        final CommittedChange found = orders.get(changeId);
        return found == null ? null : found.version();
    }

    /** An order was accepted; a change without a time counts as made with the one before. */
    void accept(final String changeId, final long version, final long acceptedMs) {
        newestMs = Math.max(newestMs, acceptedMs);
        orders.remove(changeId);
        orders.put(changeId, new CommittedChange(changeId, version, newestMs));
        forget();
    }

    private void forget() {
        final Iterator<CommittedChange> oldest = orders.values().iterator();
        while (orders.size() > KEPT_LEAST) {
            final boolean over = oldest.next().acceptedMs() + KEPT_MS < newestMs;
            if (!over && orders.size() <= KEPT_MOST) {
                return;
            }
            oldest.remove();
        }
    }

    /** Takes the orders of elsewhere in place of these. */
    void replace(final List<CommittedChange> others) {
        orders.clear();
        newestMs = 0;
        others.forEach(o -> accept(o.changeId(), o.version(), o.acceptedMs()));
    }

    /** All that are known, the oldest first. */
    List<CommittedChange> all() {
        return List.copyOf(orders.values());
    }
}
