package spokestall.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import spokestall.api.CallRegistry;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.Configuration;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationFormat;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.KeyHash;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.change.ChangeDraft;
import spokestall.configuration.feed.FeedClient;

/**
 * The calls that read and change the configuration: the whole configuration, a part of it, a tenant's keys, or the
 * evacuated zones.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The reply to a change is sent once the outcome of the change
 * is known.
 */
final class ConfigurationCalls {
    private final NodeContext context;
    private final ChangeCoordinator changeCoordinator;
    private final FeedClient feedClient;

    ConfigurationCalls(
            final NodeContext context, final ChangeCoordinator changeCoordinator, final FeedClient feedClient) {
        this.context = context;
        this.changeCoordinator = changeCoordinator;
        this.feedClient = feedClient;
    }

    /** Registers the calls that every node answers. */
    void registerReads(final CallRegistry calls) {
        calls.register("policy.get", (params, done) -> getConfiguration(done));
    }

    /** Registers the calls that only cores answer. */
    void registerWrites(final CallRegistry calls) {
        calls.register(
                "policy.put",
                (params, done) -> change(params, write(ConfigurationChange.Kind.PUT, params.get("policy")), done));
        calls.register(
                "policy.patch",
                (params, done) -> change(params, write(ConfigurationChange.Kind.PATCH, params.get("patch")), done));
        calls.register("key.add", (params, done) -> {
            final ObjectNode key = ConfigurationStore.JSON
                    .createObjectNode()
                    .put("sha256", KeyHash.of(params.get("key").asText()));
            changeKey(params, key, done);
        });
        calls.register("key.withdraw", (params, done) -> changeKey(params, ConfigurationStore.JSON.nullNode(), done));
        calls.register("hold.set", (params, done) -> {
            final ObjectNode evacuation = ConfigurationStore.JSON
                    .createObjectNode()
                    .put("reason", params.path("reason").asText(""));
            changeEvacuation(params, evacuation, done);
        });
        calls.register(
                "hold.clear", (params, done) -> changeEvacuation(params, ConfigurationStore.JSON.nullNode(), done));
    }

    /**
     * Replies with the newest configuration. A read that starts after the call was received proves that no newer one is
     * committed.
     */
    private void getConfiguration(final Consumer<Reply> done) {
        changeCoordinator.readNewest(context.settings().integer("policyBoundMs"), newest -> {
            if (newest.isEmpty()) {
                done.accept(Reply.of(ResultCode.NOT_READY, null));
                return;
            }
            final Configuration configuration = newest.get();
            final ObjectNode fields =
                    ConfigurationStore.JSON.createObjectNode().put("version", configuration.version());
            fields.put("ageMs", feedClient.lease().ageMs()).set("policy", configuration.tree());
            done.accept(Reply.of(ResultCode.OK, fields));
        });
    }

    private void change(final JsonNode params, final ChangeDraft draft, final Consumer<Reply> done) {
        changeCoordinator.submitForBaseVersion(
                params.get("base").asLong(), params.get("changeId").asText(), draft, done);
    }

    private static ChangeDraft write(final ConfigurationChange.Kind kind, final JsonNode json) {
        return tree -> new ChangeDraft.Drafted.Write(kind, json);
    }

    /** Adds the key, or removes it if the value is a JSON null. */
    private void changeKey(final JsonNode params, final JsonNode value, final Consumer<Reply> done) {
        final String cell = params.get("cell").asText();
        final String tenant = params.get("tenant").asText();
        final String keyId = params.get("keyId").asText();
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        patch.putObject("cells")
                .putObject(cell)
                .putObject("tenants")
                .putObject(tenant)
                .putObject("keys")
                .set(keyId, value);
        final ChangeDraft draft = tree -> {
            final JsonNode existing =
                    tree.path("cells").path(cell).path("tenants").path(tenant);
            final boolean missing = existing.isMissingNode()
                    || value.isNull() && !existing.path("keys").has(keyId);
            return missing
                    ? new ChangeDraft.Drafted.NotFound()
                    : new ChangeDraft.Drafted.Write(ConfigurationChange.Kind.PATCH, patch);
        };
        change(params, draft, done);
    }

    /** Starts the evacuation of the zone, or ends it if the value is a JSON null. */
    private void changeEvacuation(final JsonNode params, final JsonNode value, final Consumer<Reply> done) {
        final ObjectNode patch = ConfigurationStore.JSON.createObjectNode();
        patch.putObject(ConfigurationFormat.EVACUATIONS)
                .set(params.get("district").asText(), value);
        change(params, write(ConfigurationChange.Kind.PATCH, patch), done);
    }
}
