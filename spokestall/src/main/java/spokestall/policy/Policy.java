package spokestall.policy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** One version of the policy, made ready for use. A new version keeps whatever tenant did not change. */
public final class Policy {
    private final long version;
    private final JsonNode tree;
    private final Map<String, Tenant> tenants = new HashMap<>();
    private final Map<String, Tenant> byKey = new HashMap<>();
    private final Map<String, ServiceRule> services = new HashMap<>();
    private final Set<String> holds = new HashSet<>();

    Policy(final long version, final JsonNode tree, final Policy before) {
        this.version = version;
        this.tree = tree;
        tree.path("cells").fields().forEachRemaining(cell -> cell.getValue().path("tenants").fields()
                .forEachRemaining(t -> add(cell.getKey(), t.getKey(), t.getValue(), before)));
        tree.path("services").fields().forEachRemaining(e -> services.put(e.getKey(), rule(e.getKey(), e.getValue())));
        tree.path("holds").fieldNames().forEachRemaining(holds::add);
    }

    private void add(final String cell, final String name, final JsonNode source, final Policy before) {
        final Tenant had = before == null ? null : before.tenants.get(name);
        final Tenant tenant = had != null && had.madeFrom(source) && had.cell().equals(cell) ? had
                : new Tenant(name, cell, source);
        tenants.put(name, tenant);
        for (final String key : tenant.keys()) {
            byKey.put(key, tenant);
        }
    }

    private static ServiceRule rule(final String name, final JsonNode s) {
        return new ServiceRule(name, s.path("askMaxBytes").asInt(64 << 10), s.path("answerMaxBytes").asInt(256 << 10),
                s.path("goMs").asLong(2000), s.path("warmupMs").asLong(10_000), s.path("warmPerS").asDouble(10));
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

    /** All tenants by name. Example: {@code policy.tenants().size()} */
    public Map<String, Tenant> tenants() {
        return tenants;
    }

    /** A service's bounds, or null. Example: {@code policy.service("transfers").goMs()} */
    public ServiceRule service(final String name) {
        return services.get(name);
    }

    /** Names of the services. Example: {@code policy.services().keySet()} */
    public Map<String, ServiceRule> services() {
        return services;
    }

    /** Districts that are to be empty. Example: {@code policy.holds().contains("d1")} */
    public Set<String> holds() {
        return holds;
    }
}
