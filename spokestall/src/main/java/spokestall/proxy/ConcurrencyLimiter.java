package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests in flight at an edge and the bytes of bodies that are held for them. A tenant may take a permit, or
 * bytes, only while it holds no more than is free: a tenant alone gets half, and however many tenants want everything, some
 * stays free for one more. Not thread-safe.
 */
final class ConcurrencyLimiter {
    private static final class Usage {
        private int requests;
        private long bytes;
    }

    private final int requestsMax;
    private final long bytesMax;
    private final Map<String, Usage> usageByTenant = new HashMap<>();
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

    boolean tryAcquire(final String tenant, final long more) {
        final Usage use = usageByTenant.getOrDefault(tenant, new Usage());
        if (use.requests >= requestsMax - requests || use.bytes + more > bytesMax - bytes) {
            return false;
        }
        usageByTenant.put(tenant, use);
        use.requests++;
        requests++;
        adjustHeldBytes(tenant, more);
        return true;
    }

    /** Changes the bytes held for a tenant by a difference. */
    void adjustHeldBytes(final String tenant, final long more) {
        usageByTenant.get(tenant).bytes += more;
        bytes += more;
        removeIfUnused(tenant);
    }

    void release(final String tenant) {
        usageByTenant.get(tenant).requests--;
        requests--;
        removeIfUnused(tenant);
    }

    private void removeIfUnused(final String tenant) {
        final Usage use = usageByTenant.get(tenant);
        assert use.requests >= 0 && use.bytes >= 0 && requests <= requestsMax
                : tenant + " holds " + use.requests + " and " + use.bytes;
        if (use.requests == 0 && use.bytes == 0) {
            usageByTenant.remove(tenant);
        }
    }
}
