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

/** The numbers of all notes. A number is never given to another kind. */
final class MessageNumbers {
    private MessageNumbers() {}

    static void number() {
        MessageCodec.number(1, GossipMessage.Shuffle.class);
        MessageCodec.number(10, ConsensusMessage.Prepare.class);
        MessageCodec.number(11, ConsensusMessage.Promise.class);
        MessageCodec.number(12, ConsensusMessage.Accept.class);
        MessageCodec.number(13, ConsensusMessage.Accepted.class);
        MessageCodec.number(14, ConsensusMessage.Chosen.class);
        MessageCodec.number(15, ConsensusMessage.Table.class);
        MessageCodec.number(16, ConsensusMessage.CatchAsk.class);
        MessageCodec.number(17, ConsensusMessage.CatchBack.class);
        MessageCodec.number(18, ConsensusMessage.HoldAsk.class);
        MessageCodec.number(19, ConsensusMessage.HoldBack.class);
        MessageCodec.number(20, MembershipMessage.Standing.class);
        MessageCodec.number(21, MembershipMessage.FormPrepare.class);
        MessageCodec.number(22, MembershipMessage.FormPromise.class);
        MessageCodec.number(23, MembershipMessage.FormAccept.class);
        MessageCodec.number(24, MembershipMessage.FormAccepted.class);
        MessageCodec.number(25, MembershipMessage.Founded.class);
        MessageCodec.number(26, MembershipMessage.RemainsAsk.class);
        MessageCodec.number(27, MembershipMessage.RemainsBack.class);
        MessageCodec.number(30, FeedMessage.FeedAsk.class);
        MessageCodec.number(31, FeedMessage.FeedBack.class);
        MessageCodec.number(32, FeedMessage.FeedNews.class);
        MessageCodec.number(33, FeedMessage.ProofAsk.class);
        MessageCodec.number(34, FeedMessage.ProofBack.class);
        MessageCodec.number(40, DiscoveryMessage.Push.class);
        MessageCodec.number(51, UsageMessage.CountAsk.class);
        MessageCodec.number(52, UsageMessage.CountBack.class);
        MessageCodec.number(53, UsageMessage.Counts.class);
        MessageCodec.number(54, UsageMessage.CountsHad.class);
        MessageCodec.number(60, HandoffMessage.Keep.class);
        MessageCodec.number(61, HandoffMessage.Ask.class);
        MessageCodec.number(62, HandoffMessage.Back.class);
        MessageCodec.number(63, HandoffMessage.Hint.class);
        MessageCodec.number(70, BootstrapMessage.Ask.class);
        MessageCodec.number(71, BootstrapMessage.Promise.class);
        MessageCodec.number(72, BootstrapMessage.Offer.class);
        MessageCodec.number(73, BootstrapMessage.Taken.class);
    }
}
