package spokestall.proxy;

import spokestall.configuration.ServiceLimits;

/**
 * The resources that one request holds at its edge: bytes for its bodies in the {@link ConcurrencyLimiter}, and capacity at the
 * upstreams of its service, which the {@link LoadBalancer} reserves until the first attempt starts.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class RequestReservation {
    private final ConcurrencyLimiter limiter;
    private final LoadBalancer loadBalancer;
    private final ServiceLimits service;
    private final String tenant;
    private long heldBytes;
    private boolean counted;
    private boolean reserved;

    /** Creates the reservation of a request for which admission has already taken {@code heldBytes} from the limiter. */
    RequestReservation(
            final ConcurrencyLimiter limiter,
            final LoadBalancer loadBalancer,
            final ServiceLimits service,
            final String tenant,
            final long heldBytes) {
        this.limiter = limiter;
        this.loadBalancer = loadBalancer;
        this.service = service;
        this.tenant = tenant;
        this.heldBytes = heldBytes;
    }

    /** Changes the number of bytes that the request holds. */
    void holdBytes(final long bytes) {
        if (bytes == heldBytes) {
            return;
        }
        limiter.adjustHeldBytes(tenant, bytes - heldBytes);
        heldBytes = bytes;
    }

    /** Reserves upstream capacity, which the caller has checked to be available; the request counts until {@link #end}. */
    void reserve() {
        loadBalancer.reserve(service, tenant);
        counted = true;
        reserved = true;
    }

    /** Whether {@link #reserve} has been called; stays true after {@link #release} and {@link #end}. */
    boolean hasCapacity() {
        return counted;
    }

    /** Releases the reserved capacity, because the first attempt starts or the request ends without one. */
    void release() {
        if (reserved) {
            reserved = false;
            loadBalancer.releaseReservation(service);
        }
    }

    /** Releases the capacity of a request that has ended and stops counting it. */
    void end() {
        release();
        if (counted) {
            loadBalancer.onRequestEnded(service, tenant);
        }
    }
}
