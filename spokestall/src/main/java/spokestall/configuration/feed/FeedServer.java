package spokestall.configuration.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
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
 * Answers feed clients out of this core's state, and tracks the edges that send requests.
 *
 * <p>A node without an acceptor has a server too, for {@link #announce} alone: a change may be proposed on any node.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class FeedServer {
    /**
     * What the server answers from.
     *
     * @param acceptor this core's acceptor, or null on a node without a disk, which receives no requests
     */
    public record Sources(
            ConfigurationStore configurationStore,
            EndpointRegistry endpointRegistry,
            PartialView view,
            Acceptor acceptor) {}

    /** The settings that the server uses, read anew each time since they can be reloaded. */
    public interface Options {
        /** Returns the version of messages that all nodes of the fleet can read. */
        long messageVersion();

        /** Returns for how long an edge counts as serving after its last request, in milliseconds. */
        long edgeTimeoutMs();
    }

    /** A larger change is fetched by each client, not announced to all at once. */
    private static final int ANNOUNCED_BYTES_MAX = 16 << 10;
    /** The version of messages since which a response may omit what the client has. */
    private static final int OMISSIONS_MIN_MESSAGE_VERSION = 3;

    private final String name;
    private final ConfigurationStore configurationStore;
    private final EndpointRegistry endpointRegistry;
    private final PartialView view;
    private final Acceptor acceptor;
    private final MessageSender sender;
    private final Options options;
    private final EdgeTracker edgeTracker;

    /** Creates the server of the core with this name. */
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
        this.sender = sender;
        this.options = options;
        this.edgeTracker = new EdgeTracker(sources.view(), clock, fleetClock);
    }

    /** Returns the edges that send requests to this core, by name; a live view. */
    public Map<String, TrackedEdge> edges() {
        return edgeTracker.edges();
    }

    /** Returns the edges that sent requests lately and may serve, in the order of their names. */
    public Collection<NodeInfo> servingEdges() {
        return edgeTracker.serving(options.edgeTimeoutMs());
    }

    /** Returns an edge's incarnation as of its last request, or null if it sends none. */
    public Long incarnationOf(final String edgeName) {
        final TrackedEdge edge = edges().get(edgeName);
        return edge == null ? null : edge.info().incarnation();
    }

    /** Forgets edges that sent no request for this time. */
    public void pruneEdges(final long maxAgeMs) {
        edgeTracker.prune(maxAgeMs);
    }

    /** Notifies every node known here, once each, that a version was chosen. */
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

    /** Receives a client's request; responses and updates are for {@link FeedClient}. */
    public void onMessage(final FeedMessage message) {
        if (message instanceof FeedMessage.FeedRequest request) {
            onFeedRequest(request);
        } else if (message instanceof FeedMessage.FreshnessRequest request) {
            onFreshnessRequest(request);
        }
    }

    /** Answers with the newest version and, if the client wants them, with updates. */
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
                        isVoting(),
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

    /** What a client misses of the configuration and the registry. */
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

    /** Answers with the newest version alone; a client with an older voter set is sent this core's. */
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
                        isVoting(),
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
                isVoting(),
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

    /** Whether this core votes and has applied its generation's first version. */
    private boolean isCaughtUp() {
        return isVoting() && acceptor.voterSet().firstNumber() <= appliedVersion();
    }

    private long appliedVersion() {
        return configurationStore.configuration().version();
    }

    /** The version that clients may fetch here, 0 before this core has caught up. */
    private long servedVersion() {
        return isCaughtUp() ? appliedVersion() : 0;
    }

    /** The newest version that this core knows of, accepted by its voter or applied. */
    private long newestVersion() {
        return isVoting()
                ? Math.max(appliedVersion(), ConfigurationKeys.newestAccepted(acceptor.registers()))
                : appliedVersion();
    }
}
