package spokestall.configuration.feed;

import java.util.List;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.consensus.VoterSet;
import spokestall.discovery.Endpoint;
import spokestall.discovery.HealthObservation;
import spokestall.gossip.NodeInfo;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/**
 * The messages between feed clients (all nodes) and feed servers (cores). They are encoded by the order of their
 * components, so a new component is added last and carries the message version that introduced it.
 */
public sealed interface FeedMessage extends Message {
    /**
     * Requests of a core the newest version that it knows and, if {@code wantsUpdates}, the changes after
     * {@code appliedVersion} and the registry entries after {@code registryOffset}. It names what the client has already, the
     * voter set and the list of edges (by its digest), which the response then omits; zero means none.
     */
    record FeedRequest(
            String from,
            NodeInfo node,
            boolean fresh,
            int openRequests,
            long requestId,
            boolean wantsUpdates,
            long appliedVersion,
            long registryIncarnation,
            long registryOffset,
            @SinceVersion(3) long generation,
            @SinceVersion(3) long epoch,
            @SinceVersion(3) long edgesDigest)
            implements FeedMessage {}

    /** One change and the version that it made. */
    record VersionedChange(long version, ConfigurationChange change) {}

    /**
     * Answers a {@link FeedRequest}: the newest version that this voter knows, and updates if they were requested. The voter
     * set is null if the client has it, the snapshot if the changes suffice; {@code registryIncarnation} is zero without
     * updates.
     */
    record FeedResponse(
            String voterName,
            String diskId,
            long requestId,
            VoterSet voterSet,
            boolean voting,
            long appliedVersion,
            long newestVersion,
            List<VersionedChange> changes,
            ConfigurationSnapshot snapshot,
            List<NodeInfo> edges,
            long registryIncarnation,
            long registryOffset,
            List<Endpoint> endpoints,
            List<HealthObservation> healthObservations,
            @SinceVersion(3) long generation,
            @SinceVersion(3) long epoch,
            @SinceVersion(3) boolean edgesOmitted,
            @SinceVersion(3) long edgesDigest)
            implements FeedMessage {
        /** Whether the voter answered out of this voter set, be it included or omitted. */
        boolean answersFor(final VoterSet expected) {
            return expected != null
                    && (voterSet != null
                            ? expected.hasEpoch(voterSet.generation(), voterSet.epoch())
                            : expected.hasEpoch(generation, epoch));
        }

        /** Whether the response carries the updates that were requested, even if there were none. */
        boolean hasUpdates() {
            return registryIncarnation != 0;
        }
    }

    /**
     * Notifies clients of a committed version, so that they need not wait for their next tick. The encoded change is null if
     * it is large; clients then fetch it.
     */
    record FeedUpdate(long version, @SinceVersion(3) byte[] encodedChange) implements FeedMessage {}

    /** Requests the newest version alone. A node that serves clients is identified by its address and incarnation. */
    record FreshnessRequest(
            String from,
            long incarnation,
            boolean servesClients,
            boolean fresh,
            boolean draining,
            int openRequests,
            long requestId,
            long generation,
            long epoch)
            implements FeedMessage {}

    /**
     * Answers a {@link FreshnessRequest}: the newest version known to this voter, its disk (by fingerprint), its voter set,
     * and by how many versions the voter's own configuration lags. A client that the core doesn't know is to introduce
     * itself with a {@link FeedRequest}.
     */
    record FreshnessResponse(
            String voterName,
            long requestId,
            long generation,
            long epoch,
            long diskFingerprint,
            boolean voting,
            boolean clientUnknown,
            long newestVersion,
            long versionsBehind)
            implements FeedMessage {}
}
