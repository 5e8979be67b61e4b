package spokestall.configuration.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Acceptor;
import spokestall.consensus.VoterSet;
import spokestall.discovery.Endpoint;
import spokestall.discovery.EndpointRegistry;
import spokestall.discovery.HealthObservation;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.message.Fingerprints;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Answers feed clients from this core's state, and tracks the edges that send requests.
 *
 * <p>A node without an acceptor also has a server, but only for {@link #announce}, because any node can propose a change.
 *
 * <p>Not thread-safe; call only on the node's event loop.
 */
public final class FeedServer {
    /**
     * The state that the server answers from.
     *
     * @param acceptor this core's acceptor; null on a node without a disk, which must not receive requests
     * @param endpointsCurrent whether this core knows the endpoints as they were listed after its start; before that, its
     *     answers don't count as a voter's
     */
    public record Sources(
            ConfigurationStore configurationStore,
            EndpointRegistry endpointRegistry,
            PartialView view,
            Acceptor acceptor,
            BooleanSupplier endpointsCurrent) {}

    /** The server's settings. The server reads them on each use, because they can be reloaded. */
    public interface Options {
        /** Returns the message version that all nodes of the fleet can read. */
        long messageVersion();

        /** Returns the time after an edge's last request, in milliseconds, during which the edge counts as serving. */
        long edgeTimeoutMs();
    }

    /** The size limit of a change in an announcement. Clients fetch larger changes individually. */
    private static final int ANNOUNCED_BYTES_MAX = 16 << 10;
    /** The first message version in which a response may omit data that the client already has. */
    private static final int OMISSIONS_MIN_MESSAGE_VERSION = 3;

    private final String name;
    private final ConfigurationStore configurationStore;
    private final EndpointRegistry endpointRegistry;
    private final PartialView view;
    private final Acceptor acceptor;
    private final BooleanSupplier endpointsCurrent;
    private final MessageSender sender;
    private final Options options;
    private final EdgeTracker edgeTracker;

    /** Creates the server of the node with this name. */
    public FeedServer(
            final String name,
            final Sources sources,
            final MessageSender sender,
            final Clock clock,
            final FleetClock fleetClock,
            final Options options) {
        this.name = name;
        this.configurationStore = sources.configurationStore();
        this.endpointRegistry = sources.endpointRegistry();
        this.view = sources.view();
        this.acceptor = sources.acceptor();
        this.endpointsCurrent = sources.endpointsCurrent();
        this.sender = sender;
        this.options = options;
        this.edgeTracker = new EdgeTracker(sources.view(), clock, fleetClock);
    }

    /** Returns a live, unmodifiable view of the edges that send requests to this core, by name. */
    public Map<String, TrackedEdge> edges() {
        return edgeTracker.edges();
    }

    /** Returns the edges that can serve clients and sent a request within the edge timeout, ordered by name. */
    public Collection<NodeInfo> servingEdges() {
        return edgeTracker.serving(options.edgeTimeoutMs());
    }

    /** Returns the incarnation in an edge's last request, or null if the edge isn't tracked here. */
    public Long incarnationOf(final String edgeName) {
        final TrackedEdge edge = edges().get(edgeName);
        return edge == null ? null : edge.info().incarnation();
    }

    /** Removes edges that have not sent a request for longer than {@code maxAgeMs}. */
    public void pruneEdges(final long maxAgeMs) {
        edgeTracker.prune(maxAgeMs);
    }

    /** Notifies every node that this node knows, once each, of a chosen version. */
    public void announce(final long version) {
        final Set<String> addresses = new TreeSet<>();
        view.members().forEach(member -> addresses.add(member.address()));
        edges().values().forEach(edge -> addresses.add(edge.info().address()));
        final Map<Long, ConfigurationChange> changes = configurationStore.changesAfter(version - 1);
        final ConfigurationChange change = changes == null ? null : changes.get(version);
        final boolean mustFetch = change == null || change.json().length > ANNOUNCED_BYTES_MAX;
        final FeedMessage.FeedUpdate update =
                new FeedMessage.FeedUpdate(version, mustFetch ? null : MessageCodec.encodeRecord(change));
        addresses.forEach(address -> sender.send(address, update));
    }

    /** Handles a client's request. {@link FeedClient} handles responses and notifications. */
    public void onMessage(final FeedMessage message) {
        if (message instanceof FeedMessage.FeedRequest request) {
            onFeedRequest(request);
        } else if (message instanceof FeedMessage.FreshnessRequest request) {
            onFreshnessRequest(request);
        }
    }

    /** Answers with the newest version and, if the client requested them, with updates. */
    private void onFeedRequest(final FeedMessage.FeedRequest request) {
        if (request.node().servesClients()) {
            edgeTracker.onRequest(request);
        }
        final Updates updates = request.wantsUpdates() && isCaughtUp() ? updatesFor(request) : Updates.NONE;
        final VoterSet voterSet = acceptor.voterSet();
        final boolean mayOmit = options.messageVersion() >= OMISSIONS_MIN_MESSAGE_VERSION;
        final boolean voterSetKnown =
                mayOmit && voterSet != null && voterSet.hasEpoch(request.generation(), request.epoch());
        final Collection<NodeInfo> edges = servingEdges();
        final long edgesDigest = mayOmit ? EdgeTracker.digest(edges) : 0;
        final boolean edgesOmitted = mayOmit && (request.edgesDigest() == edgesDigest || !request.wantsUpdates());
        sender.send(
                request.from(),
                new FeedMessage.FeedResponse(
                        name,
                        acceptor.diskId(),
                        request.requestId(),
                        voterSetKnown ? null : voterSet,
                        answersAsVoter(),
                        servedVersion(),
                        newestVersion(),
                        updates.changes,
                        updates.snapshot,
                        edgesOmitted ? List.of() : List.copyOf(edges),
                        updates.registryIncarnation,
                        endpointRegistry.offset(),
                        updates.endpoints,
                        updates.healthObservations,
                        voterSet == null ? 0 : voterSet.generation(),
                        voterSet == null ? 0 : voterSet.epoch(),
                        edgesOmitted,
                        edgesDigest));
    }

    /** The configuration changes and registry entries that a client doesn't have yet. */
    private record Updates(
            List<FeedMessage.VersionedChange> changes,
            ConfigurationSnapshot snapshot,
            long registryIncarnation,
            List<Endpoint> endpoints,
            List<HealthObservation> healthObservations) {
        private static final Updates NONE = new Updates(List.of(), null, 0, List.of(), List.of());
    }

    private Updates updatesFor(final FeedMessage.FeedRequest request) {
        final List<FeedMessage.VersionedChange> changes = new ArrayList<>();
        ConfigurationSnapshot snapshot = null;
        if (request.appliedVersion() < appliedVersion()) {
            final Map<Long, ConfigurationChange> missing = configurationStore.changesAfter(request.appliedVersion());
            if (missing == null) {
                snapshot = configurationStore.snapshot();
            } else {
                missing.forEach((version, change) -> changes.add(new FeedMessage.VersionedChange(version, change)));
            }
        }
        final long registryOffset =
                request.registryIncarnation() == endpointRegistry.incarnation() ? request.registryOffset() : 0;
        return new Updates(
                changes,
                snapshot,
                endpointRegistry.incarnation(),
                endpointRegistry.endpointsAfter(registryOffset),
                endpointRegistry.observationsAfter(registryOffset));
    }

    /** Answers with only the newest version, or with this core's voter set if the client's is older. */
    private void onFreshnessRequest(final FeedMessage.FreshnessRequest request) {
        final VoterSet voterSet = acceptor.voterSet();
        final boolean clientUnknown = request.servesClients() && !edgeTracker.onRequest(request);
        if (voterSet != null && voterSet.newerThan(new VoterSet(request.generation(), request.epoch(), List.of()))) {
            sender.send(request.from(), voterSetResponse(request.requestId(), voterSet));
            return;
        }
        final long newest = newestVersion();
        sender.send(
                request.from(),
                new FeedMessage.FreshnessResponse(
                        name,
                        request.requestId(),
                        voterSet == null ? 0 : voterSet.generation(),
                        voterSet == null ? 0 : voterSet.epoch(),
                        Fingerprints.of(acceptor.diskId()),
                        answersAsVoter(),
                        clientUnknown,
                        newest,
                        newest - servedVersion()));
    }

    private FeedMessage.FeedResponse voterSetResponse(final long requestId, final VoterSet voterSet) {
        return new FeedMessage.FeedResponse(
                name,
                acceptor.diskId(),
                requestId,
                voterSet,
                answersAsVoter(),
                servedVersion(),
                newestVersion(),
                List.of(),
                null,
                List.of(),
                0,
                0,
                List.of(),
                List.of(),
                voterSet.generation(),
                voterSet.epoch(),
                true,
                0);
    }

    private boolean isVoting() {
        return acceptor.state() == Acceptor.State.VOTING;
    }

    /** Returns whether a client may count this core's answer toward the majority that confirms its freshness. */
    private boolean answersAsVoter() {
        return isVoting() && endpointsCurrent.getAsBoolean();
    }

    /** Returns whether this core votes and has applied the first version of its voter set's generation. */
    private boolean isCaughtUp() {
        return isVoting() && acceptor.voterSet().firstNumber() <= appliedVersion();
    }

    private long appliedVersion() {
        return configurationStore.configuration().version();
    }

    /** Returns the version that clients can fetch from this core; 0 until this core has caught up. */
    private long servedVersion() {
        return isCaughtUp() ? appliedVersion() : 0;
    }

    /** Returns the newest version that this core has applied or, if it votes, that its acceptor has accepted. */
    private long newestVersion() {
        return isVoting()
                ? Math.max(appliedVersion(), ConfigurationKeys.newestAccepted(acceptor.registers()))
                : appliedVersion();
    }
}
