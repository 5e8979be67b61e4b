package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * spokestall's native configuration format: cells with their tenants, shared routes, services and drained zones. Operators write
 * and nodes store its field names, so the names must not change even where the code uses other terms ({@code bindings} are
 * routes, {@code holds} are drained zones).
 */
public final class NativeConfigurationFormat implements ConfigurationFormat {
    private static final int HEAD_MAX_BYTES = 16 << 10;
    private static final long HEAD_TIMEOUT_MS = 10_000;
    private static final long IDLE_TIMEOUT_MS = 60_000;
    private static final int REQUEST_MAX_BYTES = 64 << 10;
    private static final int RESPONSE_MAX_BYTES = 256 << 10;
    private static final long ATTEMPT_TIMEOUT_MS = 2000;
    private static final long SLOW_START_MS = 10_000;
    private static final double SLOW_START_PER_SECOND = 10;
    private final ConfigurationValidator validator;

    /**
     * Creates the format.
     *
     * @param validator the validator for {@link #check}; null if the format is only used for reading
     */
    public NativeConfigurationFormat(final ConfigurationValidator validator) {
        this.validator = validator;
    }

    @Override
    public List<ConfigurationValidator.ValidationError> check(final JsonNode tree, final JsonNode valid) {
        return validator.check(tree, valid);
    }

    @Override
    public Configuration read(final long version, final JsonNode tree, final Configuration previous) {
        final List<Tenant> tenants = new ArrayList<>();
        tree.path("cells")
                .fields()
                .forEachRemaining(cell -> cell.getValue()
                        .path("tenants")
                        .fields()
                        .forEachRemaining(tenant ->
                                tenants.add(readTenant(tenant.getKey(), cell.getKey(), tenant.getValue(), previous))));
        final List<Route> routes = new ArrayList<>();
        tree.path("bindings")
                .fields()
                .forEachRemaining(route -> routes.add(readRoute(route.getKey(), route.getValue())));
        final Map<String, ServiceLimits> services = new HashMap<>();
        tree.path("services")
                .fields()
                .forEachRemaining(service ->
                        services.put(service.getKey(), readServiceLimits(service.getKey(), service.getValue())));
        final Set<String> drainedZones = new HashSet<>();
        tree.path(EVACUATIONS).fieldNames().forEachRemaining(drainedZones::add);
        return new Configuration(
                version, tree, tenants, routes, services, drainedZones, readClientLimits(tree.path("limits")));
    }

    private static ClientLimits readClientLimits(final JsonNode limits) {
        return new ClientLimits(
                limits.path("headMaxBytes").asInt(HEAD_MAX_BYTES),
                limits.path("headWaitMs").asLong(HEAD_TIMEOUT_MS),
                limits.path("restMaxMs").asLong(IDLE_TIMEOUT_MS));
    }

    /** Reads a tenant, or reuses the previous version's if its node is the same object, because there can be many tenants. */
    private static Tenant readTenant(
            final String name, final String cell, final JsonNode source, final Configuration previous) {
        final Tenant unchanged = previous == null ? null : previous.tenants().get(name);
        return unchanged != null
                        && unchanged.isReadFrom(source)
                        && unchanged.cell().equals(cell)
                ? unchanged
                : Tenant.read(name, cell, source);
    }

    private static Route readRoute(final String name, final JsonNode route) {
        final List<Route.Share> split = new ArrayList<>();
        route.path("split")
                .fields()
                .forEachRemaining(share -> split.add(
                        new Route.Share(share.getKey(), share.getValue().asInt())));
        if (split.isEmpty()) {
            split.add(new Route.Share(route.path("service").asText(), 1));
        }
        final Set<String> regions = new HashSet<>();
        route.path("regions").forEach(region -> regions.add(region.asText()));
        final int attemptsMax = route.path("goes").asInt(0);
        final long timeoutMillis = route.path("spanMs").asLong(0);
        final long latencyTargetMs = route.path("aimMs").asLong(0);
        final boolean anonymous = route.path("open").asBoolean(false);
        return new Route(
                name,
                route.path("host").asText(""),
                route.path("path").asText(),
                split,
                route.path("runOnce").asBoolean(false),
                attemptsMax,
                timeoutMillis,
                latencyTargetMs,
                route.path("priority").asInt(0),
                anonymous,
                regions);
    }

    private static ServiceLimits readServiceLimits(final String name, final JsonNode service) {
        final int requestMaxBytes = service.path("askMaxBytes").asInt(REQUEST_MAX_BYTES);
        final int responseMaxBytes = service.path("answerMaxBytes").asInt(RESPONSE_MAX_BYTES);
        final long attemptTimeoutMs = service.path("goMs").asLong(ATTEMPT_TIMEOUT_MS);
        final long slowStartMs = service.path("warmupMs").asLong(SLOW_START_MS);
        final double slowStartPerSecond = service.path("warmPerS").asDouble(SLOW_START_PER_SECOND);
        return new ServiceLimits(
                name, requestMaxBytes, responseMaxBytes, attemptTimeoutMs, slowStartMs, slowStartPerSecond);
    }
}
