package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** spokestall's own form of a configuration: cells with their tenants, routes for all, services and holds. */
public final class NativeConfigurationFormat implements ConfigurationFormat {
    private static final int HEAD_MAX_BYTES = 16 << 10;
    private static final long HEAD_WAIT_MS = 10_000;
    private static final long REST_MAX_MS = 60_000;
    private final ConfigurationValidator rules;

    /** Example: {@code new NativeConfigurationFormat(new ConfigurationValidator(schema, regions, zones))}; a book that checks nothing may have null. */
    public NativeConfigurationFormat(final ConfigurationValidator rules) {
        this.rules = rules;
    }

    @Override
    public List<ConfigurationValidator.ValidationError> check(final JsonNode tree, final JsonNode good) {
        return rules.check(tree, good);
    }

    @Override
    public Configuration read(final long version, final JsonNode tree, final Configuration before) {
        final List<Tenant> tenants = new ArrayList<>();
        tree.path("cells")
                .fields()
                .forEachRemaining(cell -> cell.getValue()
                        .path("tenants")
                        .fields()
                        .forEachRemaining(t -> tenants.add(tenant(cell.getKey(), t.getKey(), t.getValue(), before))));
        final List<Route> routes = new ArrayList<>();
        tree.path("bindings").fields().forEachRemaining(b -> routes.add(route(b.getKey(), b.getValue())));
        final Map<String, ServiceLimits> services = new HashMap<>();
        tree.path("services").fields().forEachRemaining(e -> services.put(e.getKey(), rule(e.getKey(), e.getValue())));
        final Set<String> holds = new HashSet<>();
        tree.path("holds").fieldNames().forEachRemaining(holds::add);
        return new Configuration(version, tree, tenants, routes, services, holds, limits(tree.path("limits")));
    }

    private static ClientLimits limits(final JsonNode l) {
        return new ClientLimits(
                l.path("headMaxBytes").asInt(HEAD_MAX_BYTES),
                l.path("headWaitMs").asLong(HEAD_WAIT_MS),
                l.path("restMaxMs").asLong(REST_MAX_MS));
    }

    private static Tenant tenant(
            final String cell, final String name, final JsonNode source, final Configuration before) {
        final Tenant had = before == null ? null : before.tenants().get(name);
        return had != null && had.madeFrom(source) && had.cell().equals(cell) ? had : Tenant.read(name, cell, source);
    }

    private static Route route(final String name, final JsonNode b) {
        final List<Route.Share> split = new ArrayList<>();
        b.path("split")
                .fields()
                .forEachRemaining(
                        s -> split.add(new Route.Share(s.getKey(), s.getValue().asInt())));
        if (split.isEmpty()) {
            split.add(new Route.Share(b.path("service").asText(), 1));
        }
        final Set<String> regions = new HashSet<>();
        b.path("regions").forEach(r -> regions.add(r.asText()));
        return new Route(
                name,
                b.path("host").asText(""),
                b.path("path").asText(),
                split,
                b.path("runOnce").asBoolean(false),
                b.path("goes").asInt(0),
                b.path("spanMs").asLong(0),
                b.path("aimMs").asLong(0),
                b.path("priority").asInt(0),
                b.path("open").asBoolean(false),
                regions);
    }

    private static ServiceLimits rule(final String name, final JsonNode s) {
        return new ServiceLimits(
                name,
                s.path("askMaxBytes").asInt(64 << 10),
                s.path("answerMaxBytes").asInt(256 << 10),
                s.path("goMs").asLong(2000),
                s.path("warmupMs").asLong(10_000),
                s.path("warmPerS").asDouble(10));
    }
}
