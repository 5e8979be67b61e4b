package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spokestall.configuration.ConfigurationValidator.ValidationError;

/**
 * Checks a configuration that conforms to the schema: that referenced names exist, that tenants, keys and paths are unique, and
 * that paths are unambiguous. Not thread-safe; each instance is used for one check.
 */
final class SemanticCheck {
    private static final String UNKNOWN_SERVICE = "unknown service";
    private static final String UNKNOWN_REGION = "unknown region";
    private static final String AMBIGUOUS_PATH = "is no path that can be read in one way only";

    private final JsonNode tree;
    private final JsonNode valid;
    private final Set<String> regions;
    private final Set<String> zones;
    private final boolean servicesUnchanged;
    private final Map<String, String> tenantPointers = new HashMap<>();
    private final Map<String, String> keyPointers = new HashMap<>();
    private final List<ValidationError> errors = new ArrayList<>();

    /** Creates a check. {@code valid} is a previously validated configuration, with which the tree may share nodes. */
    SemanticCheck(final JsonNode tree, final JsonNode valid, final Set<String> regions, final Set<String> zones) {
        this.tree = tree;
        this.valid = valid;
        this.regions = regions;
        this.zones = zones;
        this.servicesUnchanged = tree.path("services") == valid.path("services");
    }

    /** Returns all errors: those of cells first, then those of shared routes and of drained zones, each in document order. */
    List<ValidationError> errors() {
        tree.path("cells").fields().forEachRemaining(cell -> checkCell(cell.getKey(), cell.getValue()));
        final Map<String, String> routePointers = new HashMap<>();
        tree.path("bindings")
                .fields()
                .forEachRemaining(route -> checkSharedRoute(route.getKey(), route.getValue(), routePointers));
        tree.path("holds").fieldNames().forEachRemaining(zone -> {
            if (!zones.contains(zone)) {
                error("/holds/" + zone, "unknown district");
            }
        });
        return errors;
    }

    private void error(final String pointer, final String reason) {
        errors.add(new ValidationError(pointer, reason));
    }

    private void checkCell(final String name, final JsonNode cell) {
        final String pointer = "/cells/" + name;
        if (cell.path("tenants").isEmpty()) {
            error(pointer + "/tenants", "a cell needs at least one tenant");
        }
        final JsonNode validTenants = valid.path("cells").path(name).path("tenants");
        cell.path("tenants")
                .fields()
                .forEachRemaining(tenant ->
                        checkTenant(pointer, tenant.getKey(), tenant.getValue(), validTenants.path(tenant.getKey())));
    }

    private void checkTenant(
            final String cellPointer, final String name, final JsonNode tenant, final JsonNode validTenant) {
        final String pointer = cellPointer + "/tenants/" + name;
        final String other = tenantPointers.putIfAbsent(name, pointer);
        if (other != null) {
            error(pointer, "tenant is also at " + other);
        }
        tenant.path("keys").fields().forEachRemaining(key -> checkKey(pointer, key.getKey(), key.getValue()));
        if (tenant == validTenant && servicesUnchanged) {
            return;
        }
        checkRegions(pointer + "/homeRegions/", tenant.path("homeRegions"));
        final Map<String, String> pathPointers = new HashMap<>();
        tenant.path("bindings")
                .fields()
                .forEachRemaining(route -> checkTenantRoute(
                        pointer + "/bindings/" + route.getKey(),
                        route.getValue(),
                        validTenant.path("bindings").path(route.getKey()),
                        pathPointers));
    }

    private void checkKey(final String tenantPointer, final String id, final JsonNode key) {
        final String pointer = tenantPointer + "/keys/" + id;
        final String other = keyPointers.putIfAbsent(key.path("sha256").asText(), pointer);
        if (other != null) {
            error(pointer, "the same key is also at " + other);
        }
    }

    private void checkTenantRoute(
            final String pointer,
            final JsonNode route,
            final JsonNode validRoute,
            final Map<String, String> pathPointers) {
        if (!isService(route.path("service").asText())) {
            error(pointer + "/service", UNKNOWN_SERVICE);
        }
        final String path = route.path("path").asText();
        if (route != validRoute && (isAmbiguous(path) || path.length() > 1 && path.endsWith("/"))) {
            error(pointer + "/path", AMBIGUOUS_PATH);
        }
        final String other = pathPointers.putIfAbsent(path, pointer);
        if (other != null) {
            error(pointer + "/path", "the same path is also at " + other);
        }
    }

    private void checkSharedRoute(final String name, final JsonNode route, final Map<String, String> routePointers) {
        final String pointer = "/bindings/" + name;
        final String path = route.path("path").asText();
        final String other = routePointers.putIfAbsent(route.path("host").asText("") + " " + path, pointer);
        if (other != null) {
            error(pointer + "/path", "the same host and path are also at " + other);
        }
        if (route == valid.path("bindings").path(name) && servicesUnchanged) {
            return;
        }
        if (isAmbiguous(path)) {
            error(pointer + "/path", AMBIGUOUS_PATH);
        }
        checkSplit(pointer, route);
        checkRegions(pointer + "/regions/", route.path("regions"));
    }

    private void checkSplit(final String pointer, final JsonNode route) {
        if (route.has("service") && !isService(route.path("service").asText())) {
            error(pointer + "/service", UNKNOWN_SERVICE);
        }
        int weights = route.has("split") ? 0 : 1;
        for (final var shares = route.path("split").fields(); shares.hasNext(); ) {
            final Map.Entry<String, JsonNode> share = shares.next();
            weights += share.getValue().asInt();
            if (!isService(share.getKey())) {
                error(pointer + "/split/" + share.getKey(), UNKNOWN_SERVICE);
            }
        }
        if (weights == 0) {
            error(pointer + "/split", "has no weight at all");
        }
    }

    private void checkRegions(final String pointerPrefix, final JsonNode names) {
        for (int i = 0; i < names.size(); i++) {
            if (!regions.contains(names.get(i).asText())) {
                error(pointerPrefix + i, UNKNOWN_REGION);
            }
        }
    }

    private boolean isService(final String name) {
        return tree.path("services").has(name);
    }

    private static boolean isAmbiguous(final String path) {
        return !(RequestTarget.of(path) instanceof RequestTarget.Valid);
    }
}
