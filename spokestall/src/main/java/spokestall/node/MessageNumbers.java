package spokestall.node;

import spokestall.configuration.feed.FeedMessage;
import spokestall.consensus.ConsensusMessage;
import spokestall.discovery.DiscoveryMessage;
import spokestall.gossip.GossipMessage;
import spokestall.handoff.HandoffMessage;
import spokestall.membership.BootstrapMessage;
import spokestall.membership.MembershipMessage;
import spokestall.message.MessageRegistry;
import spokestall.usage.UsageMessage;

/**
 * The numbers that identify message types in frames. They are part of the wire format and of stored state: a number
 * never changes, and the number of a removed message is never reused.
 */
final class MessageNumbers {
    private MessageNumbers() {}

    /** Registers all numbers with the codec. Idempotent. */
    static void register() {
        MessageRegistry.register(1, GossipMessage.Shuffle.class);
        MessageRegistry.register(10, ConsensusMessage.Prepare.class);
        MessageRegistry.register(11, ConsensusMessage.Promise.class);
        MessageRegistry.register(12, ConsensusMessage.Accept.class);
        MessageRegistry.register(13, ConsensusMessage.Accepted.class);
        MessageRegistry.register(14, ConsensusMessage.Chosen.class);
        MessageRegistry.register(15, ConsensusMessage.VoterSetUpdate.class);
        MessageRegistry.register(16, ConsensusMessage.CatchUpRequest.class);
        MessageRegistry.register(17, ConsensusMessage.CatchUpResponse.class);
        MessageRegistry.register(18, ConsensusMessage.HandoverRequest.class);
        MessageRegistry.register(19, ConsensusMessage.HandoverResponse.class);
        MessageRegistry.register(20, MembershipMessage.VoterStatus.class);
        MessageRegistry.register(21, MembershipMessage.GenerationPrepare.class);
        MessageRegistry.register(22, MembershipMessage.GenerationPromise.class);
        MessageRegistry.register(23, MembershipMessage.GenerationAccept.class);
        MessageRegistry.register(24, MembershipMessage.GenerationAccepted.class);
        MessageRegistry.register(25, MembershipMessage.GenerationStarted.class);
        MessageRegistry.register(26, MembershipMessage.SurvivingStateRequest.class);
        MessageRegistry.register(27, MembershipMessage.SurvivingStateResponse.class);
        MessageRegistry.register(30, FeedMessage.FeedRequest.class);
        MessageRegistry.register(31, FeedMessage.FeedResponse.class);
        MessageRegistry.register(32, FeedMessage.FeedUpdate.class);
        MessageRegistry.register(33, FeedMessage.FreshnessRequest.class);
        MessageRegistry.register(34, FeedMessage.FreshnessResponse.class);
        MessageRegistry.register(40, DiscoveryMessage.Push.class);
        MessageRegistry.register(51, UsageMessage.CountsRequest.class);
        MessageRegistry.register(52, UsageMessage.CountsResponse.class);
        MessageRegistry.register(53, UsageMessage.Counts.class);
        MessageRegistry.register(54, UsageMessage.CountsAcknowledged.class);
        MessageRegistry.register(60, HandoffMessage.Store.class);
        MessageRegistry.register(61, HandoffMessage.Fetch.class);
        MessageRegistry.register(62, HandoffMessage.FetchResult.class);
        MessageRegistry.register(63, HandoffMessage.Hint.class);
        MessageRegistry.register(70, BootstrapMessage.Prepare.class);
        MessageRegistry.register(71, BootstrapMessage.Promise.class);
        MessageRegistry.register(72, BootstrapMessage.Accept.class);
        MessageRegistry.register(73, BootstrapMessage.Accepted.class);
    }
}
