package spokestall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the upstream capacity that admitted requests need or use, by service and tenant.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The caller must release and end each reservation exactly once: a
 * repeated call is not detected and makes the counts wrong.
 */
final class CapacityReservations {
    private record TenantService(String tenant, String service) {}

    /** Admitted requests whose first attempt hasn't started, by service. */
    private final Map<String, Integer> pending = new HashMap<>();
    /** Admitted requests that haven't ended. */
    private final Map<TenantService, Integer> open = new HashMap<>();

    /**
     * Returns how much of a service's capacity isn't available to one more request of the tenant: the pending requests of all
     * tenants and the tenant's own open requests.
     */
    int unavailableSlots(final String service, final String tenant) {
        return pending.getOrDefault(service, 0) + open.getOrDefault(new TenantService(tenant, service), 0);
    }

    /** Reserves capacity for one request. */
    void reserve(final String service, final String tenant) {
        pending.merge(service, 1, Integer::sum);
        open.merge(new TenantService(tenant, service), 1, Integer::sum);
    }

    /** Notified when the first attempt of a request starts, or the request ends without an attempt. */
    void release(final String service) {
        decrement(pending, service);
    }

    /** Notified when a request ends. */
    void end(final String service, final String tenant) {
        decrement(open, new TenantService(tenant, service));
    }

    private static <K> void decrement(final Map<K, Integer> counts, final K key) {
        counts.merge(key, -1, (count, change) -> count + change <= 0 ? null : count + change);
    }
}
