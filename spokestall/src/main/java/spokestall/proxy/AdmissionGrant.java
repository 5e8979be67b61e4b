package spokestall.proxy;

import spokestall.configuration.RequestTarget;
import spokestall.configuration.Route;
import spokestall.configuration.ServiceLimits;
import spokestall.configuration.Tenant;

/**
 * What a request was admitted by.
 *
 * @param keyHash the hash of its key, null if it came without one
 * @param tenant null on an open route
 * @param service the limits of the service that the route led to at admission
 * @param deadlineMs when it must be answered, on the monotonic clock
 */
record AdmissionGrant(
        RequestHead head,
        RequestTarget.Valid target,
        String keyHash,
        Tenant tenant,
        Route route,
        ServiceLimits service,
        long deadlineMs) {
    /** The tenant's name, empty on an open route. */
    String tenantName() {
        return AdmissionController.nameOf(tenant);
    }

    /** Whether the client has tried to have this run-once request sent before, or may have. */
    boolean hasTicket() {
        return RequestTicket.of(head.requestId()) != null;
    }
}
