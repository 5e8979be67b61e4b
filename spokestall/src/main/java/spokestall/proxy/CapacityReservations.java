package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts of requests that were admitted and have yet to find capacity at an upstream.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The caller releases and ends each reservation exactly once: more than
 * that isn't noticed, and makes counts negative.
 */
final class CapacityReservations {
    private record TenantService(String tenant, String service) {}

    /** Requests that were admitted and whose first attempt has not begun, by service. */
    private final Map<String, Integer> pending = new HashMap<>();
    /** Requests that were admitted and have not ended. */
    private final Map<TenantService, Integer> open = new HashMap<>();

    /** Returns how much of a service's capacity another request of the tenant may not count on. */
    int taken(final String service, final String tenant) {
        return pending.getOrDefault(service, 0) + open.getOrDefault(new TenantService(tenant, service), 0);
    }

    /** Reserves capacity for one request. */
    void reserve(final String service, final String tenant) {
        pending.merge(service, 1, Integer::sum);
        open.merge(new TenantService(tenant, service), 1, Integer::sum);
    }

    /** Notified when the first attempt of a request begins, or it is clear that there will be none. */
    void release(final String service) {
        decrement(pending, service);
    }

    /** Notified when a request ends. */
    void end(final String service, final String tenant) {
        decrement(open, new TenantService(tenant, service));
    }

    private static <K> void decrement(final Map<K, Integer> counts, final K key) {
        counts.merge(key, -1, (count, one) -> count + one <= 0 ? null : count + one);
    }
}
