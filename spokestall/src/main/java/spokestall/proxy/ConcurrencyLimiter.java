package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests in flight at an edge and the bytes held for their bodies. A tenant gets another permit only if it holds
 * fewer permits than are free, and more bytes only if it then holds no more than were free. A single tenant thus gets half of
 * each limit, and some capacity stays free for one more tenant no matter how many tenants compete.
 *
 * <p>Not thread-safe.
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

    /** Takes a permit and the given number of bytes for a tenant, or returns false if the limits don't allow it. */
    boolean tryAcquire(final String tenant, final long more) {
        final Usage usage = usageByTenant.getOrDefault(tenant, new Usage());
        if (usage.requests >= requestsMax - requests || usage.bytes + more > bytesMax - bytes) {
            return false;
        }
        usageByTenant.put(tenant, usage);
        usage.requests++;
        requests++;
        adjustHeldBytes(tenant, more);
        return true;
    }

    /** Changes the number of bytes held for a tenant by {@code more}, which may be negative. */
    void adjustHeldBytes(final String tenant, final long more) {
        usageByTenant.get(tenant).bytes += more;
        bytes += more;
        removeIfUnused(tenant);
    }

    /** Returns a tenant's permit; the bytes that are held stay until {@link #adjustHeldBytes}. */
    void release(final String tenant) {
        usageByTenant.get(tenant).requests--;
        requests--;
        removeIfUnused(tenant);
    }

    private void removeIfUnused(final String tenant) {
        final Usage usage = usageByTenant.get(tenant);
        assert usage.requests >= 0 && usage.bytes >= 0 && requests <= requestsMax
                : tenant + " holds " + usage.requests + " requests; bytes held: " + usage.bytes;
        if (usage.requests == 0 && usage.bytes == 0) {
            usageByTenant.remove(tenant);
        }
    }
}
