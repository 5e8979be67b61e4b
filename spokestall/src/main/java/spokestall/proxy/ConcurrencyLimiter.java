package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * The places of asks in flight at an edge and the bytes of bodies that are held for them. A tenant may take a place, or
 * bytes, only while it holds no more than is free: one alone gets half, and however many want all, some stays free for
 * one more.
 */
final class ConcurrencyLimiter {
    private static final class Use {
        private int asks;
        private long bytes;
    }

    private final int asksMax;
    private final long bytesMax;
    private final Map<String, Use> uses = new HashMap<>();
    private int asks;
    private long bytes;

    ConcurrencyLimiter(final int asksMax, final long bytesMax) {
        this.asksMax = asksMax;
        this.bytesMax = bytesMax;
    }

    int asks() {
        return asks;
    }

    long bytes() {
        return bytes;
    }

    boolean take(final String tenant, final long more) {
        final Use use = uses.getOrDefault(tenant, new Use());
        if (use.asks >= asksMax - asks || use.bytes + more > bytesMax - bytes) {
            return false;
        }
        uses.put(tenant, use);
        use.asks++;
        asks++;
        hold(tenant, more);
        return true;
    }

    /** Holds so many bytes more, or fewer. */
    void hold(final String tenant, final long more) {
        uses.get(tenant).bytes += more;
        bytes += more;
        tidy(tenant);
    }

    void leave(final String tenant) {
        uses.get(tenant).asks--;
        asks--;
        tidy(tenant);
    }

    private void tidy(final String tenant) {
        final Use use = uses.get(tenant);
        assert use.asks >= 0 && use.bytes >= 0 && asks <= asksMax : tenant + " holds " + use.asks + " and " + use.bytes;
        if (use.asks == 0 && use.bytes == 0) {
            uses.remove(tenant);
        }
    }
}
