package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** One version of the policy, made ready for use. */
public final class Configuration {
    /** What a host, path and key lead to: a tenant, or null where none is needed or none has the key, and a binding. */
    public record Found(Tenant tenant, Route binding) {
        /** Whether a key is missing that would be needed. Example: {@code if (found.keyMissing()) deny();} */
        public boolean keyMissing() {
            return tenant == null && (binding == null || !binding.open());
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

    /** Example: {@code new Configuration(17, tree, tenants, bindings, services, holds, limits)} */
    public Configuration(
            final long version,
            final JsonNode tree,
            final Collection<Tenant> tenants,
            final Collection<Route> bindings,
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
        for (final Route binding : bindings) {
            byHost.computeIfAbsent(binding.host(), h -> new RouteTable()).add(binding);
        }
    }

    /** Example: {@code policy.version()} */
    public long version() {
        return version;
    }

    /** The policy as operators wrote it. Example: {@code policy.tree().toString()} */
    public JsonNode tree() {
        return tree;
    }

    /** The tenant a key's hash belongs to, or null. Example: {@code policy.tenantOf(KeyHash.of(key))} */
    public Tenant tenantOf(final String keyHash) {
        return byKey.get(keyHash);
    }

    /** What an ask leads to: the tenant's own binding, else one for all of its host, else one for all of any host.
     * keyHash is null where no key came. Example: {@code policy.find("a.example", "/pay/17", hash).binding()} */
    public Found find(final String host, final String path, final String keyHash) {
        final Tenant tenant = keyHash == null ? null : byKey.get(keyHash);
        Route binding = tenant == null ? null : tenant.binding(path);
        if (binding == null) {
            binding = shared(host, path);
        }
        if (binding == null && !host.isEmpty()) {
            binding = shared("", path);
        }
        return new Found(tenant, binding);
    }

    private Route shared(final String host, final String path) {
        final RouteTable of = byHost.get(host);
        return of == null ? null : of.find(path);
    }

    /** All tenants by name. Example: {@code policy.tenants().size()} */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** A service's bounds, or null. Example: {@code policy.service("transfers").goMs()} */
    public ServiceLimits service(final String name) {
        return services.get(name);
    }

    /** Names of the services. Example: {@code policy.services().keySet()} */
    public Map<String, ServiceLimits> services() {
        return services;
    }

    /** What clients may send, and how long they may take. Example: {@code port.limits(policy.limits());} */
    public ClientLimits limits() {
        return limits;
    }

    /** Districts that are to be empty. Example: {@code policy.holds().contains("d1")} */
    public Set<String> holds() {
        return holds;
    }
}
