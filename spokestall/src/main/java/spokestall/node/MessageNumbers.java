package spokestall.node;

import spokestall.configuration.feed.FeedMessage;
import spokestall.consensus.ConsensusMessage;
import spokestall.discovery.DiscoveryMessage;
import spokestall.gossip.GossipMessage;
import spokestall.handoff.HandoffMessage;
import spokestall.membership.BootstrapMessage;
import spokestall.membership.MembershipMessage;
import spokestall.message.MessageCodec;
import spokestall.usage.UsageMessage;

/**
 * The numbers by which messages are written. They are part of the wire format and of stored state: a number never changes, and
 * that of a removed message is never used again.
 */
final class MessageNumbers {
    private MessageNumbers() {}

    /** Registers all numbers with the codec. May be called again; it then has no effect. */
    static void register() {
        MessageCodec.number(1, GossipMessage.Shuffle.class);
        MessageCodec.number(10, ConsensusMessage.Prepare.class);
        MessageCodec.number(11, ConsensusMessage.Promise.class);
        MessageCodec.number(12, ConsensusMessage.Accept.class);
        MessageCodec.number(13, ConsensusMessage.Accepted.class);
        MessageCodec.number(14, ConsensusMessage.Chosen.class);
        MessageCodec.number(15, ConsensusMessage.VoterSetUpdate.class);
        MessageCodec.number(16, ConsensusMessage.CatchUpRequest.class);
        MessageCodec.number(17, ConsensusMessage.CatchUpResponse.class);
        MessageCodec.number(18, ConsensusMessage.HandoverRequest.class);
        MessageCodec.number(19, ConsensusMessage.HandoverResponse.class);
        MessageCodec.number(20, MembershipMessage.VoterStatus.class);
        MessageCodec.number(21, MembershipMessage.GenerationPrepare.class);
        MessageCodec.number(22, MembershipMessage.GenerationPromise.class);
        MessageCodec.number(23, MembershipMessage.GenerationAccept.class);
        MessageCodec.number(24, MembershipMessage.GenerationAccepted.class);
        MessageCodec.number(25, MembershipMessage.GenerationStarted.class);
        MessageCodec.number(26, MembershipMessage.SurvivingStateRequest.class);
        MessageCodec.number(27, MembershipMessage.SurvivingStateResponse.class);
        MessageCodec.number(30, FeedMessage.FeedRequest.class);
        MessageCodec.number(31, FeedMessage.FeedResponse.class);
        MessageCodec.number(32, FeedMessage.FeedUpdate.class);
        MessageCodec.number(33, FeedMessage.FreshnessRequest.class);
        MessageCodec.number(34, FeedMessage.FreshnessResponse.class);
        MessageCodec.number(40, DiscoveryMessage.Push.class);
        MessageCodec.number(51, UsageMessage.CountsRequest.class);
        MessageCodec.number(52, UsageMessage.CountsResponse.class);
        MessageCodec.number(53, UsageMessage.Counts.class);
        MessageCodec.number(54, UsageMessage.CountsAcknowledged.class);
        MessageCodec.number(60, HandoffMessage.Store.class);
        MessageCodec.number(61, HandoffMessage.Fetch.class);
        MessageCodec.number(62, HandoffMessage.FetchResult.class);
        MessageCodec.number(63, HandoffMessage.Hint.class);
        MessageCodec.number(70, BootstrapMessage.Prepare.class);
        MessageCodec.number(71, BootstrapMessage.Promise.class);
        MessageCodec.number(72, BootstrapMessage.Accept.class);
        MessageCodec.number(73, BootstrapMessage.Accepted.class);
    }
}
