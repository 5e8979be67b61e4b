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
 * Validates configurations in spokestall's native format: first against the JSON schema and then, if they conform to it, with
 * {@link SemanticCheck}.
 *
 * <p>Validation is incremental: a node that is the same object as in a previously validated configuration isn't validated again
 * on its own, but only for consistency with the other nodes. {@link MergePatch} keeps unchanged nodes identical. Immutable and
 * thread-safe.
 */
public final class ConfigurationValidator {
    /**
     * An error in a configuration.
     *
     * @param pointer the JSON pointer of the invalid element, empty for the whole configuration
     * @param reason why the element is invalid
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
     * @param valid a configuration that was validated before, or an empty object
     * @return all schema errors or, if there are none, all semantic errors; the caller may modify the list
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

    /** Returns a copy of a node in which the given map has only its changed members, each transformed by {@code reduce}. */
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

    /** Converts a path of the schema validator, such as {@code $.cells.c1}, to a JSON pointer. */
    private static String pointer(final String path) {
        return path.startsWith("$")
                ? path.substring(1).replace(".", "/").replace("[", "/").replace("]", "")
                : path;
    }
}
