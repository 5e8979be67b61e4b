package spokestall.proxy;

import spokestall.api.ResultCode;
import spokestall.configuration.Configuration;
import spokestall.configuration.Route;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;

/**
 * Decides whether an admitted request may still be sent. The check runs before each attempt and again right before its first
 * bytes are sent. It requires that the configuration is proven fresh and that the current configuration allows the request's
 * key, region, route and zone. If the configuration has changed the route, later attempts use the new one.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class AttemptPermission {
    private final AdmissionController admission;
    private final ProxyContext context;
    private final AdmissionGrant grant;
    private Route route;
    private ServiceLimits service;

    AttemptPermission(final AdmissionController admission, final ProxyContext context, final AdmissionGrant grant) {
        this.admission = admission;
        this.context = context;
        this.grant = grant;
        this.route = grant.route();
        this.service = grant.service();
    }

    /** The route that the last check found. */
    Route route() {
        return route;
    }

    /** The limits of the service that the next attempt goes to; null if the current configuration no longer contains it. */
    ServiceLimits service() {
        return service;
    }

    /** Returns why the request may not be sent now, or null if it may. Updates the route and service if they have changed. */
    ResultCode refusal() {
        if (context.clock().nowMs() >= grant.deadlineMs()) {
            return ResultCode.DEADLINE;
        }
        if (!context.feedClient().isFresh()) {
            return ResultCode.NOT_FRESH;
        }
        if (!context.usageCounter().mayStart()) {
            return ResultCode.UNCOUNTED;
        }
        final Configuration configuration = context.configurationStore().configuration();
        final Configuration.Resolution found =
                configuration.resolve(grant.head().host(), grant.target().path(), grant.keyHash());
        if (!(found.route() != null && found.route().anonymous())
                && !AdmissionController.nameOf(found.tenant()).equals(grant.tenantName())) {
            return ResultCode.BAD_KEY;
        }
        if (!admission.isHomeOf(found.tenant())) {
            return ResultCode.WRONG_REGION;
        }
        if (found.route() == null
                || found.route().runOnce() != grant.route().runOnce()
                || !followRoute(configuration, found.route())) {
            return ResultCode.NO_BINDING;
        }
        return admission.isOwnZoneDrained(configuration) ? ResultCode.HELD : null;
    }

    /** Whether the request may go to an upstream: the route and tenant allow its region, and its zone isn't drained. */
    boolean allows(final Upstream upstream) {
        return admission.allows(route, grant.tenant(), upstream);
    }

    private boolean followRoute(final Configuration configuration, final Route newest) {
        if (!newest.equals(route)) {
            route = newest;
            if (!newest.sendsTo(service.name())) {
                service = configuration.service(newest.pickService(context.random()));
            }
        }
        return service != null;
    }
}
