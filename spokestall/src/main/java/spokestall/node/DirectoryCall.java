package spokestall.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import spokestall.api.CallRegistry;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.KeyHash;
import spokestall.configuration.Tenant;
import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Proposer;
import spokestall.consensus.VoterSet;
import spokestall.gossip.NodeInfo;
import spokestall.proxy.EdgeSelector;
import spokestall.proxy.RequestTicket;

/**
 * The call {@code where}: returns the edges to which a client should send its requests, and a ticket for these
 * requests.
 *
 * <p>Not thread-safe; all calls on the node's event loop. A key is rejected only if it is missing from a configuration
 * that a read proved to be the newest after the call was received. To accept a known key, a fresh configuration is
 * enough.
 */
final class DirectoryCall {
    /** How many edges one reply lists: the client's primary edge and one for failover. */
    private static final int EDGES_PER_REPLY = 2;
    /** How long a client may use the reply, as a ratio of {@code leaveBoundMs}. */
    private static final double REPLY_VALIDITY_LEAVE_BOUNDS = 0.4;

    private final NodeContext context;
    private final ConfigurationStore configurationStore;
    private final FeedClient feedClient;
    private final Proposer proposer;
    private final ChangeCoordinator changeCoordinator;
    private final KnownEdges knownEdges;

    DirectoryCall(
            final NodeContext context,
            final ConfigurationStore configurationStore,
            final FeedClient feedClient,
            final Proposer proposer,
            final ChangeCoordinator changeCoordinator,
            final KnownEdges knownEdges) {
        this.context = context;
        this.configurationStore = configurationStore;
        this.feedClient = feedClient;
        this.proposer = proposer;
        this.changeCoordinator = changeCoordinator;
        this.knownEdges = knownEdges;
    }

    /** Registers the call, which every node answers. */
    void register(final CallRegistry calls) {
        calls.register("where", this::locateEdges);
    }

    private void locateEdges(final JsonNode params, final Consumer<Reply> done) {
        if (!feedClient.isFresh() || proposer.voterSet() == null) {
            done.accept(Reply.of(ResultCode.NOT_FRESH, null));
            return;
        }
        final String keyHash = KeyHash.of(params.get("key").asText());
        final Tenant tenant = configurationStore.configuration().tenantOf(keyHash);
        if (tenant != null) {
            done.accept(edgesFor(params, tenant));
            return;
        }
        changeCoordinator.readNewest(context.settings().integer("freshMs"), newest -> {
            if (newest.isEmpty()) {
                done.accept(Reply.of(ResultCode.NOT_FRESH, null));
            } else if (newest.get().tenantOf(keyHash) == null) {
                done.accept(Reply.of(ResultCode.BAD_KEY, null));
            } else {
                done.accept(edgesFor(params, newest.get().tenantOf(keyHash)));
            }
        });
    }

    private Reply edgesFor(final JsonNode params, final Tenant tenant) {
        final List<NodeInfo> selected = EdgeSelector.select(
                params.get("client").asText(),
                knownEdges.forClients(),
                tenant.homeRegions(),
                configurationStore.configuration().drainedZones(),
                EDGES_PER_REPLY);
        if (selected.isEmpty()) {
            return Reply.of(ResultCode.NO_UPSTREAM, null);
        }
        final ObjectNode fields = ConfigurationStore.JSON.createObjectNode();
        final ArrayNode edges = fields.putArray("edges");
        selected.forEach(edge -> edges.addObject()
                .put("name", edge.name())
                .put("address", edge.httpAddress())
                .put("region", edge.region()));
        fields.put("forMs", context.settings().fractionOf("leaveBoundMs", REPLY_VALIDITY_LEAVE_BOUNDS));
        final VoterSet voterSet = proposer.voterSet();
        fields.put("ticket", new RequestTicket(voterSet.generation(), context.fleetClock.nowMs()).text());
        return Reply.of(ResultCode.OK, fields);
    }
}
