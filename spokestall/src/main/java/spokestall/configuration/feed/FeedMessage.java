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

/** What followers and cores say to each other. */
public sealed interface FeedMessage extends Message {
    /** Asks what is newest, and, of one core, for the news from two places on. It says what the asker has already: the table
     * of voters and the list of edges (by its mark), which are then left out of the reply; zero when it has none. */
    record FeedRequest(
            String from,
            NodeInfo self,
            boolean fresh,
            int open,
            long requestId,
            boolean update,
            long place,
            long registryIncarnation,
            long registryPlace,
            @SinceVersion(3) long generation,
            @SinceVersion(3) long epoch,
            @SinceVersion(3) long edgesMark)
            implements FeedMessage {}

    /** One numbered change. */
    record Numbered(long version, ConfigurationChange change) {}

    /** The reply: what this voter knows to be newest, and news if it was asked for some. The table is null if the asker has
     * it; edges are left out if brief. */
    record FeedResponse(
            String name,
            String diskId,
            long requestId,
            VoterSet table,
            boolean voting,
            long applied,
            long newest,
            List<Numbered> changes,
            ConfigurationSnapshot snapshot,
            List<NodeInfo> edges,
            long registryIncarnation,
            long registryPlace,
            List<Endpoint> listed,
            List<HealthObservation> reports,
            @SinceVersion(3) long generation,
            @SinceVersion(3) long epoch,
            @SinceVersion(3) boolean brief,
            @SinceVersion(3) long edgesMark)
            implements FeedMessage {}

    /** Says that a version was accepted, and how it changes the one before unless that is large, so that followers need
     * not wait for their beat. */
    record FeedUpdate(long version, @SinceVersion(3) byte[] change) implements FeedMessage {}

    /** Asks for a proof alone. Nodes that serve clients are known by their address and life. */
    record FreshnessRequest(
            String from,
            long incarnation,
            boolean serves,
            boolean fresh,
            boolean leaving,
            int open,
            long requestId,
            long generation,
            long epoch)
            implements FeedMessage {}

    /** The reply to {@link FreshnessRequest}: what is newest here, by which disk (its mark) and in which table, and by how many
     * versions this node's own is behind. A stranger is asked to say who it is. */
    record FreshnessResponse(
            String name,
            long requestId,
            long generation,
            long epoch,
            long diskMark,
            boolean voting,
            boolean stranger,
            long newest,
            long behind)
            implements FeedMessage {}
}
