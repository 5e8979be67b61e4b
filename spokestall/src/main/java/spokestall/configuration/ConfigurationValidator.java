package spokestall.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BinaryOperator;

/**
 * Validates configurations in spokestall's own format: first against the schema, then, if they conform, by what they mean
 * ({@link SemanticCheck}).
 *
 * <p>Validation is incremental: nodes that are identical (the same object) in a configuration found valid before aren't
 * validated again by themselves, only against the rest. {@link MergePatch} keeps them identical. Immutable; safe for use from
 * any thread.
 */
public final class ConfigurationValidator {
    /**
     * One error in a configuration.
     *
     * @param pointer the JSON pointer of what is wrong, empty for the whole
     * @param reason why it is wrong
     */
    public record ValidationError(String pointer, String reason) {}

    private final JsonSchema schema;
    private final Set<String> regions;
    private final Set<String> zones;

    /**
     * Creates a validator.
     *
     * @param configurationSchema the JSON schema of a configuration
     * @param regions the regions of the fleet
     * @param zones the zones of the fleet
     */
    public ConfigurationValidator(
            final JsonNode configurationSchema, final Set<String> regions, final Set<String> zones) {
        schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(configurationSchema);
        this.regions = regions;
        this.zones = zones;
    }

    /**
     * Validates a configuration.
     *
     * @param valid a configuration that was found valid, or an empty object
     * @return all errors of the schema or, if there is none, all others; a list of the caller's own
     */
    public List<ValidationError> check(final JsonNode tree, final JsonNode valid) {
        final List<ValidationError> errors = new ArrayList<>();
        schema.validate(withoutUnchanged(tree, valid))
                .forEach(message -> errors.add(new ValidationError(
                        pointer(message.getInstanceLocation().toString()), message.getMessage())));
        return errors.isEmpty() ? new SemanticCheck(tree, valid, regions, zones).errors() : errors;
    }

    /** Returns the tree without unchanged tenants and, in the other tenants, without unchanged routes. */
    private static JsonNode withoutUnchanged(final JsonNode tree, final JsonNode valid) {
        return withoutUnchanged(
                tree,
                valid,
                "cells",
                (cell, validCell) -> withoutUnchanged(
                        cell,
                        validCell,
                        "tenants",
                        (tenant, validTenant) ->
                                withoutUnchanged(tenant, validTenant, "bindings", (route, validRoute) -> route)));
    }

    /** Returns a copy in which one map has only the changed members, each replaced by what {@code reduce} makes of it. */
    private static JsonNode withoutUnchanged(
            final JsonNode node, final JsonNode validNode, final String map, final BinaryOperator<JsonNode> reduce) {
        if (!node.path(map).isObject() || !validNode.path(map).isObject()) {
            return node;
        }
        final ObjectNode reduced = JsonNodeFactory.instance.objectNode();
        reduced.setAll((ObjectNode) node);
        final ObjectNode changed = reduced.putObject(map);
        node.path(map).fields().forEachRemaining(member -> {
            final JsonNode validMember = validNode.path(map).path(member.getKey());
            if (member.getValue() != validMember) {
                changed.set(member.getKey(), reduce.apply(member.getValue(), validMember));
            }
        });
        return reduced;
    }

    /** Makes a JSON pointer of the schema validator's path, such as {@code $.cells.c1}. */
    private static String pointer(final String path) {
        return path.startsWith("$")
                ? path.substring(1).replace(".", "/").replace("[", "/").replace("]", "")
                : path;
    }
}
