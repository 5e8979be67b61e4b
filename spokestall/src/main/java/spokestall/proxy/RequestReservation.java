package spokestall.proxy;

import spokestall.configuration.ServiceLimits;

/**
 * What one request occupies at its edge: bytes of bodies in the {@link ConcurrencyLimiter}, and capacity at the upstreams of
 * its service, which the {@link LoadBalancer} keeps until the first attempt begins. Not thread-safe; all calls are made on
 * the node's event loop.
 */
final class RequestReservation {
    private final ConcurrencyLimiter limiter;
    private final LoadBalancer loadBalancer;
    private final ServiceLimits service;
    private final String tenant;
    private long heldBytes;
    private boolean counted;
    private boolean reserved;

    /** Takes over {@code heldBytes} that admission has already taken from the limiter. */
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

    /** Reserves upstream capacity that was found available; it counts until {@link #end}. */
    void reserve() {
        loadBalancer.reserve(service, tenant);
        counted = true;
        reserved = true;
    }

    /** Whether upstream capacity has been reserved and not been given back by {@link #end}. */
    boolean hasCapacity() {
        return counted;
    }

    /** Releases the reserved capacity, because an attempt takes its place or because none will come. */
    void release() {
        if (reserved) {
            reserved = false;
            loadBalancer.releaseReservation(service);
        }
    }

    /** The request has ended: its capacity is released and no longer counted. */
    void end() {
        release();
        if (counted) {
            loadBalancer.onRequestEnded(service, tenant);
        }
    }
}
