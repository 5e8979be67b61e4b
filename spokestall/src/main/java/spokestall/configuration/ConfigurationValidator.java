package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;

/** Checks a whole configuration against the schema file and in meaning; every trouble is named with its place. */
public final class ConfigurationValidator {
    /** One thing wrong: where, and why. */
    public record ValidationError(String pointer, String reason) {}

    private final JsonSchema schema;
    private final Set<String> regions;
    private final Set<String> zones;

    /** Example: {@code new ConfigurationValidator(schemaFile.at("/$defs/policy"), Set.of("r1"), Set.of("d1"))} */
    public ConfigurationValidator(
            final JsonNode configurationSchema, final Set<String> regions, final Set<String> zones) {
        schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(configurationSchema);
        this.regions = regions;
        this.zones = zones;
    }

    /** All that is wrong with a configuration. What it shares, node for node, with one that was found good is not checked again
     * by itself, only against the rest. */
    public List<ValidationError> check(final JsonNode tree, final JsonNode good) {
        final List<ValidationError> errors = new ArrayList<>();
        schema.validate(changed(tree, good))
                .forEach(m -> errors.add(
                        new ValidationError(pointer(m.getInstanceLocation().toString()), m.getMessage())));
        if (!errors.isEmpty()) {
            return errors;
        }
        final Map<String, String> keys = new HashMap<>();
        final Map<String, String> tenants = new HashMap<>();
        tree.path("cells").fields().forEachRemaining(cell -> {
            final String at = "/cells/" + cell.getKey();
            if (cell.getValue().path("tenants").isEmpty()) {
                errors.add(new ValidationError(at + "/tenants", "a cell needs at least one tenant"));
            }
            cell.getValue().path("tenants").fields().forEachRemaining(t -> {
                final String where = at + "/tenants/" + t.getKey();
                final String had = tenants.putIfAbsent(t.getKey(), where);
                if (had != null) {
                    errors.add(new ValidationError(where, "tenant is also at " + had));
                }
                final JsonNode was =
                        good.path("cells").path(cell.getKey()).path("tenants").path(t.getKey());
                keys(where, t.getValue(), keys, errors);
                if (was != t.getValue() || tree.path("services") != good.path("services")) {
                    tenant(tree, where, t.getValue(), was, errors);
                }
            });
        });
        shared(tree, good, errors);
        tree.path("holds").fieldNames().forEachRemaining(d -> {
            if (!zones.contains(d)) {
                errors.add(new ValidationError("/holds/" + d, "unknown district"));
            }
        });
        return errors;
    }

    /** Routes for all tenants: their services, regions and paths. */
    private void shared(final JsonNode tree, final JsonNode good, final List<ValidationError> errors) {
        final Map<String, String> paths = new HashMap<>();
        tree.path("bindings").fields().forEachRemaining(e -> {
            final JsonNode b = e.getValue();
            final String place = "/bindings/" + e.getKey();
            final String path = b.path("path").asText();
            final String had = paths.putIfAbsent(b.path("host").asText("") + " " + path, place);
            if (had != null) {
                errors.add(new ValidationError(place + "/path", "the same host and path are also at " + had));
            }
            if (b == good.path("bindings").path(e.getKey()) && tree.path("services") == good.path("services")) {
                return;
            }
            if (!(RequestTarget.of(path) instanceof RequestTarget.Good)) {
                errors.add(new ValidationError(place + "/path", "is no path that can be read in one way only"));
            }
            if (b.has("service") && !tree.path("services").has(b.path("service").asText())) {
                errors.add(new ValidationError(place + "/service", "unknown service"));
            }
            int weights = b.has("split") ? 0 : 1;
            for (final var it = b.path("split").fields(); it.hasNext(); ) {
                final Map.Entry<String, JsonNode> share = it.next();
                weights += share.getValue().asInt();
                if (!tree.path("services").has(share.getKey())) {
                    errors.add(new ValidationError(place + "/split/" + share.getKey(), "unknown service"));
                }
            }
            if (weights == 0) {
                errors.add(new ValidationError(place + "/split", "has no weight at all"));
            }
            for (int i = 0; i < b.path("regions").size(); i++) {
                if (!regions.contains(b.path("regions").get(i).asText())) {
                    errors.add(new ValidationError(place + "/regions/" + i, "unknown region"));
                }
            }
        });
    }

    /** The tree without the tenants, and in the other tenants without the routes, that are the very nodes they were. */
    private static JsonNode changed(final JsonNode tree, final JsonNode good) {
        return within(
                tree,
                good,
                "cells",
                (cell, cellWas) -> within(
                        cell,
                        cellWas,
                        "tenants",
                        (tenant, tenantWas) -> within(tenant, tenantWas, "bindings", (route, was) -> route)));
    }

    /** A copy in which the members of one map are only those that are not as they were, each changed in its turn. */
    private static JsonNode within(
            final JsonNode of, final JsonNode was, final String map, final BinaryOperator<JsonNode> each) {
        if (!of.path(map).isObject() || !was.path(map).isObject()) {
            return of;
        }
        final ObjectNode made = JsonNodeFactory.instance.objectNode();
        made.setAll((ObjectNode) of);
        final ObjectNode left = made.putObject(map);
        of.path(map).fields().forEachRemaining(e -> {
            final JsonNode had = was.path(map).path(e.getKey());
            if (e.getValue() != had) {
                left.set(e.getKey(), each.apply(e.getValue(), had));
            }
        });
        return made;
    }

    private static String pointer(final String path) {
        return path.startsWith("$")
                ? path.substring(1).replace(".", "/").replace("[", "/").replace("]", "")
                : path;
    }

    private static void keys(
            final String where, final JsonNode t, final Map<String, String> keys, final List<ValidationError> errors) {
        t.path("keys").fields().forEachRemaining(k -> {
            final String place = where + "/keys/" + k.getKey();
            final String had = keys.putIfAbsent(k.getValue().path("sha256").asText(), place);
            if (had != null) {
                errors.add(new ValidationError(place, "the same key is also at " + had));
            }
        });
    }

    private void tenant(
            final JsonNode tree,
            final String where,
            final JsonNode t,
            final JsonNode was,
            final List<ValidationError> errors) {
        for (int i = 0; i < t.path("homeRegions").size(); i++) {
            if (!regions.contains(t.path("homeRegions").get(i).asText())) {
                errors.add(new ValidationError(where + "/homeRegions/" + i, "unknown region"));
            }
        }
        final Map<String, String> paths = new HashMap<>();
        t.path("bindings").fields().forEachRemaining(b -> {
            final String place = where + "/bindings/" + b.getKey();
            if (!tree.path("services").has(b.getValue().path("service").asText())) {
                errors.add(new ValidationError(place + "/service", "unknown service"));
            }
            final String path = b.getValue().path("path").asText();
            if (b.getValue() != was.path("bindings").path(b.getKey())
                    && (!(RequestTarget.of(path) instanceof RequestTarget.Good)
                            || path.length() > 1 && path.endsWith("/"))) {
                errors.add(new ValidationError(place + "/path", "is no path that can be read in one way only"));
            }
            final String had = paths.putIfAbsent(path, place);
            if (had != null) {
                errors.add(new ValidationError(place + "/path", "the same path is also at " + had));
            }
        });
    }
}
