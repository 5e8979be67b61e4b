package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** A version of the configuration, indexed for lookup. Immutable; callers must not modify the returned collections. */
public final class Configuration {
    /**
     * The tenant and route that a request resolves to by its host, path and key.
     *
     * @param tenant the tenant of the key, or null if the request has no key or no tenant has this key
     * @param route the route, or null if no route matches
     */
    public record Resolution(Tenant tenant, Route route) {
        /** Returns whether the request needs a tenant's key but doesn't have a valid one. */
        public boolean keyMissing() {
            return tenant == null && (route == null || !route.anonymous());
        }
    }

    /** The host of routes that match any host. */
    private static final String ANY_HOST = "";

    private final long version;
    private final JsonNode tree;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, Tenant> tenantByKeyHash = new HashMap<>();
    private final Map<String, RouteTable> sharedRoutesByHost = new HashMap<>();
    private final Map<String, ServiceLimits> services;
    private final Set<String> drainedZones;
    private final ClientLimits limits;

    /**
     * Creates a version.
     *
     * @param tree the configuration in the operators' format
     * @param tenants the tenants, with their own routes
     * @param routes the routes shared by all tenants
     * @param services the services' limits by name
     * @param drainedZones the zones that are evacuated
     */
    public Configuration(
            final long version,
            final JsonNode tree,
            final Collection<Tenant> tenants,
            final Collection<Route> routes,
            final Map<String, ServiceLimits> services,
            final Set<String> drainedZones,
            final ClientLimits limits) {
        this.version = version;
        this.tree = tree;
        this.services = services;
        this.drainedZones = drainedZones;
        this.limits = limits;
        for (final Tenant tenant : tenants) {
            this.tenants.put(tenant.name(), tenant);
            for (final String keyHash : tenant.keyHashes()) {
                tenantByKeyHash.put(keyHash, tenant);
            }
        }
        for (final Route route : routes) {
            sharedRoutesByHost
                    .computeIfAbsent(route.host(), host -> new RouteTable())
                    .add(route);
        }
    }

    /**
     * Returns whether no operator has configured anything yet: neither tenants nor routes nor services. The first version of a new
     * fleet is so, as is the state of a node that has applied no version.
     */
    public boolean isBlank() {
        return tenants.isEmpty() && sharedRoutesByHost.isEmpty() && services.isEmpty();
    }

    /** Returns the version number; 0 before the first version. */
    public long version() {
        return version;
    }

    /** Returns the configuration in the operators' format. */
    public JsonNode tree() {
        return tree;
    }

    /** Returns the tenant of the key with this hash, or null if there is none. */
    public Tenant tenantOf(final String keyHash) {
        return tenantByKeyHash.get(keyHash);
    }

    /**
     * Resolves a request to its tenant and route. The tenant's own routes take precedence over the shared routes of the host, and
     * these over the shared routes for any host.
     *
     * @param keyHash the hash of the request's key, or null if the request has no key
     */
    public Resolution resolve(final String host, final String path, final String keyHash) {
        final Tenant tenant = keyHash == null ? null : tenantByKeyHash.get(keyHash);
        Route route = tenant == null ? null : tenant.route(path);
        if (route == null) {
            route = sharedRoute(host, path);
        }
        if (route == null && !host.equals(ANY_HOST)) {
            route = sharedRoute(ANY_HOST, path);
        }
        return new Resolution(tenant, route);
    }

    private Route sharedRoute(final String host, final String path) {
        final RouteTable routes = sharedRoutesByHost.get(host);
        return routes == null ? null : routes.find(path);
    }

    /** Returns all tenants by name. */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** Returns a service's limits, or null if there is no such service. */
    public ServiceLimits service(final String name) {
        return services.get(name);
    }

    /** Returns all services' limits by name. */
    public Map<String, ServiceLimits> services() {
        return services;
    }

    /** Returns the limits on clients. */
    public ClientLimits limits() {
        return limits;
    }

    /** Returns the zones that are evacuated; no requests are served in them. */
    public Set<String> drainedZones() {
        return drainedZones;
    }
}
