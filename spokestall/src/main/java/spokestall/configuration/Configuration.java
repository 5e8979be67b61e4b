package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** One version of the configuration, made ready for use. */
public final class Configuration {
    /** What a host, path and key lead to: a tenant, or null where none is needed or none has the key, and a route. */
    public record Found(Tenant tenant, Route route) {
        /** Whether a key is missing that would be needed. */
        public boolean keyMissing() {
            return tenant == null && (route == null || !route.open());
        }
    }

    private final long version;
    private final JsonNode tree;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, Tenant> byKey = new HashMap<>();
    private final Map<String, RouteTable> byHost = new HashMap<>();
    private final Map<String, ServiceLimits> services;
    private final Set<String> holds;
    private final ClientLimits limits;

    /** Example: {@code new Configuration(17, tree, tenants, routes, services, holds, limits)} */
    public Configuration(
            final long version,
            final JsonNode tree,
            final Collection<Tenant> tenants,
            final Collection<Route> routes,
            final Map<String, ServiceLimits> services,
            final Set<String> holds,
            final ClientLimits limits) {
        this.version = version;
        this.tree = tree;
        this.services = services;
        this.holds = holds;
        this.limits = limits;
        for (final Tenant tenant : tenants) {
            this.tenants.put(tenant.name(), tenant);
            for (final String key : tenant.keys()) {
                byKey.put(key, tenant);
            }
        }
        for (final Route route : routes) {
            byHost.computeIfAbsent(route.host(), h -> new RouteTable()).add(route);
        }
    }

    /** Example: {@code configuration.version()} */
    public long version() {
        return version;
    }

    /** The configuration as operators wrote it. */
    public JsonNode tree() {
        return tree;
    }

    /** The tenant a key's hash belongs to, or null. */
    public Tenant tenantOf(final String keyHash) {
        return byKey.get(keyHash);
    }

    /** What an ask leads to: the tenant's own route, else one for all of its host, else one for all of any host.
     * keyHash is null where no key came. */
    public Found find(final String host, final String path, final String keyHash) {
        final Tenant tenant = keyHash == null ? null : byKey.get(keyHash);
        Route route = tenant == null ? null : tenant.route(path);
        if (route == null) {
            route = shared(host, path);
        }
        if (route == null && !host.isEmpty()) {
            route = shared("", path);
        }
        return new Found(tenant, route);
    }

    private Route shared(final String host, final String path) {
        final RouteTable of = byHost.get(host);
        return of == null ? null : of.find(path);
    }

    /** All tenants by name. */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** A service's bounds, or null. */
    public ServiceLimits service(final String name) {
        return services.get(name);
    }

    /** Names of the services. */
    public Map<String, ServiceLimits> services() {
        return services;
    }

    /** What clients may send, and how long they may take. */
    public ClientLimits limits() {
        return limits;
    }

    /** Zones that are to be empty. */
    public Set<String> holds() {
        return holds;
    }
}
