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
 * Messages between feed clients (all nodes) and feed servers (cores). A message is encoded in the order of its record
 * components, so a new component must be added last, with the message version that introduced it.
 */
public sealed interface FeedMessage extends Message {
    /**
     * Requests a core's newest known version and, if {@code wantsUpdates} is set, the changes after {@code appliedVersion} and
     * the registry entries after {@code registryOffset}. The request also identifies the voter set (by generation and epoch)
     * and the list of edges (by digest) that the client already has, so that the response can omit them; zero means none.
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

    /** A change and the version that it created. */
    record VersionedChange(long version, ConfigurationChange change) {}

    /**
     * Answers a {@link FeedRequest} with the newest version that this voter knows and, if requested, with updates. The voter
     * set is null if the client already has it. The snapshot is null if the changes alone bring the client up to date.
     * {@code registryIncarnation} is zero in a response without updates.
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
        /** Returns whether the responder has this voter set; the response may include or omit the voter set itself. */
        boolean answersFor(final VoterSet expected) {
            return expected != null
                    && (voterSet != null
                            ? expected.hasEpoch(voterSet.generation(), voterSet.epoch())
                            : expected.hasEpoch(generation, epoch));
        }

        /** Returns whether the response answers a request for updates, even if there were no new updates. */
        boolean hasUpdates() {
            return registryIncarnation != 0;
        }
    }

    /**
     * Notifies clients of a committed version, so that they don't have to wait for their next tick. The encoded change is null
     * if it is too large to send to all clients at once; each client then fetches it.
     */
    record FeedUpdate(long version, @SinceVersion(3) byte[] encodedChange) implements FeedMessage {}

    /** Requests only the newest version. A core identifies a sender that serves clients by address and incarnation. */
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
     * Answers a {@link FreshnessRequest} with the newest version known to this voter, the fingerprint of the voter's disk id, the
     * generation and epoch of its voter set, and the number of versions by which its own configuration lags. If
     * {@code clientUnknown} is set, the client must identify itself with a {@link FeedRequest}.
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
