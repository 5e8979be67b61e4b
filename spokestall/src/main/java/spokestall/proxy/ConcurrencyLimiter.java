package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests in flight at an edge and the bytes of bodies that are held for them. A tenant may take a permit, or
 * bytes, only while it holds no more than is free: a tenant alone gets half, and however many tenants want everything, some
 * stays free for one more. Not thread-safe.
 */
final class ConcurrencyLimiter {
    private static final class Use {
        private int requests;
        private long bytes;
    }

    private final int requestsMax;
    private final long bytesMax;
    private final Map<String, Use> uses = new HashMap<>();
    private int requests;
    private long bytes;

    ConcurrencyLimiter(final int requestsMax, final long bytesMax) {
        this.requestsMax = requestsMax;
        this.bytesMax = bytesMax;
    }

    int requests() {
        return requests;
    }

    long bytes() {
        return bytes;
    }

    boolean take(final String tenant, final long more) {
        final Use use = uses.getOrDefault(tenant, new Use());
        if (use.requests >= requestsMax - requests || use.bytes + more > bytesMax - bytes) {
            return false;
        }
        uses.put(tenant, use);
        use.requests++;
        requests++;
        hold(tenant, more);
        return true;
    }

    /** Changes the bytes held for a tenant by a difference. */
    void hold(final String tenant, final long more) {
        uses.get(tenant).bytes += more;
        bytes += more;
        tidy(tenant);
    }

    void leave(final String tenant) {
        uses.get(tenant).requests--;
        requests--;
        tidy(tenant);
    }

    private void tidy(final String tenant) {
        final Use use = uses.get(tenant);
        assert use.requests >= 0 && use.bytes >= 0 && requests <= requestsMax
                : tenant + " holds " + use.requests + " and " + use.bytes;
        if (use.requests == 0 && use.bytes == 0) {
            uses.remove(tenant);
        }
    }
}
