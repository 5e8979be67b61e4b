package spokestall.node;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import spokestall.api.CallRegistry;
import spokestall.api.Reply;
import spokestall.api.ResultCode;
import spokestall.configuration.Configuration;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Proposer;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.discovery.Endpoint;
import spokestall.discovery.EndpointRegistry;
import spokestall.discovery.HealthObservation;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;

/**
 * The calls {@code status} and {@code upstreams}, which return this node's local view. It may be older than the views
 * of other nodes.
 *
 * <p>Not thread-safe; all calls on the node's event loop. Both calls reply immediately and never fail.
 */
final class StatusCalls {
    /** The part of {@code status} that depends on the node's role. */
    interface RoleStatus {
        /** Adds this role's fields to the status. */
        void describe(ObjectNode status);

        /** Adds the progress of an evacuation, as far as this role knows it, to the zone's entry. */
        void describeEvacuation(String zone, ObjectNode evacuation);
    }

    /** The components whose state {@code status} and {@code upstreams} show, on a node of any role. */
    record Sources(
            PartialView view,
            PeerDirectory peerDirectory,
            ConfigurationStore configurationStore,
            FeedClient feedClient,
            Proposer proposer,
            EndpointRegistry endpointRegistry) {}

    private final NodeContext context;
    private final PartialView view;
    private final PeerDirectory peerDirectory;
    private final ConfigurationStore configurationStore;
    private final FeedClient feedClient;
    private final Proposer proposer;
    private final EndpointRegistry endpointRegistry;
    private final RoleStatus roleStatus;

    StatusCalls(final NodeContext context, final Sources sources, final RoleStatus roleStatus) {
        this.context = context;
        this.view = sources.view();
        this.peerDirectory = sources.peerDirectory();
        this.configurationStore = sources.configurationStore();
        this.feedClient = sources.feedClient();
        this.proposer = sources.proposer();
        this.endpointRegistry = sources.endpointRegistry();
        this.roleStatus = roleStatus;
    }

    /** Registers both calls, which every node answers. */
    void register(final CallRegistry calls) {
        calls.register("status", (params, done) -> done.accept(Reply.of(ResultCode.OK, status())));
        calls.register("upstreams", (params, done) -> done.accept(Reply.of(ResultCode.OK, upstreams())));
    }

    /**
     * Marks a reply as this node's local view, and adds the configuration's version, the age of its last proof of
     * freshness, and whether this proof is still valid.
     */
    private void addLocalView(final ObjectNode fields) {
        fields.put("local", true)
                .put("version", configurationStore.configuration().version())
                .put("proofAgeMs", feedClient.lease().ageMs())
                .put("fresh", feedClient.isFresh());
    }

    private ObjectNode upstreams() {
        final ObjectNode fields = ConfigurationStore.JSON.createObjectNode();
        addLocalView(fields);
        final ArrayNode upstreams = fields.putArray("upstreams");
        for (final Endpoint endpoint : endpointRegistry.endpoints()) {
            final Optional<HealthObservation> health =
                    endpointRegistry.health(endpoint.instance(), context.fleetClock.nowMs());
            upstreams
                    .addObject()
                    .put("instance", endpoint.instance())
                    .put("service", endpoint.service())
                    .put("address", endpoint.address())
                    .put("district", endpoint.zone())
                    .put("listed", endpoint.present())
                    .put("leaving", endpoint.leaving())
                    .put(
                            "status",
                            health.map(observation -> observation.status().name())
                                    .orElse("UNKNOWN"));
        }
        return fields;
    }

    private ObjectNode status() {
        final ObjectNode fields = ConfigurationStore.JSON.createObjectNode();
        fields.put("node", context.name)
                .put("role", context.core ? "core" : "edge")
                .put("fleetMs", context.fleetClock.nowMs());
        addLocalView(fields);
        addNodes(fields.putObject("nodes"));
        peerDirectory.peersWithDifferingCounts().forEach(fields.putArray("differing")::add);
        if (proposer.voterSet() != null) {
            addVoters(proposer.voterSet(), fields.putObject("voters"));
        }
        addEvacuations(fields.putObject("holds"));
        roleStatus.describe(fields);
        return fields;
    }

    private void addNodes(final ObjectNode nodes) {
        for (final NodeInfo member : view.members()) {
            nodes.putObject(member.name())
                    .put("role", member.core() ? "core" : "edge")
                    .put("address", member.address())
                    .put("http", member.httpAddress())
                    .put("district", member.zone())
                    .put("leaving", member.leaving())
                    .put("heardMs", context.fleetClock.nowMs() - member.lastSeenMs());
        }
    }

    private void addVoters(final VoterSet voterSet, final ObjectNode voters) {
        voters.put("generation", voterSet.generation()).put("epoch", voterSet.epoch());
        final long timeoutMillis = Math.max(
                context.settings().integer("leaveBoundMs"), context.settings().peerTimeoutMillis());
        for (final Voter voter : voterSet.voters()) {
            final FeedClient.CoreReport lastReport = feedClient.coreReports().get(voter.name());
            final boolean reporting = lastReport != null && feedClient.sinceResponseMs(voter.name()) < timeoutMillis;
            voters.putObject(voter.name())
                    .put("state", !reporting ? "unheard" : lastReport.voting() ? "voting" : "blank")
                    .put("applied", reporting ? lastReport.appliedVersion() : 0);
        }
    }

    private void addEvacuations(final ObjectNode evacuations) {
        final Configuration configuration = configurationStore.configuration();
        for (final String zone : configuration.drainedZones()) {
            final String reason =
                    configuration.tree().path("holds").path(zone).path("reason").asText();
            roleStatus.describeEvacuation(zone, evacuations.putObject(zone).put("reason", reason));
        }
    }
}
