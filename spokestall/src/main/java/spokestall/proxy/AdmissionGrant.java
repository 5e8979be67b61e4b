package spokestall.proxy;

import spokestall.configuration.RequestTarget;
import spokestall.configuration.Route;
import spokestall.configuration.ServiceLimits;
import spokestall.configuration.Tenant;

/**
 * An admitted request with the configuration that it was admitted under.
 *
 * @param keyHash the hash of the client's API key, null if the request has none
 * @param tenant the tenant that owns the key, null on a route without keys
 * @param service the limits of the service that the route selected at admission
 * @param deadlineMs the request's deadline on the monotonic clock
 */
record AdmissionGrant(
        RequestHead head,
        RequestTarget.Valid target,
        String keyHash,
        Tenant tenant,
        Route route,
        ServiceLimits service,
        long deadlineMs) {
    /** The tenant's name, empty on a route without keys. */
    String tenantName() {
        return AdmissionController.nameOf(tenant);
    }

    /** Whether the request id contains a ticket: the client may have sent this run-once request before. */
    boolean hasTicket() {
        return RequestTicket.of(head.requestId()) != null;
    }
}
