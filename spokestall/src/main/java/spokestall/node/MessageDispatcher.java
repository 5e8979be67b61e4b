package spokestall.node;

import spokestall.configuration.feed.FeedClient;
import spokestall.configuration.feed.FeedMessage;
import spokestall.configuration.feed.FeedServer;
import spokestall.consensus.ConsensusMessage;
import spokestall.discovery.DiscoveryMessage;
import spokestall.gossip.GossipMessage;
import spokestall.gossip.PartialView;
import spokestall.handoff.HandoffMessage;
import spokestall.membership.BootstrapMessage;
import spokestall.membership.MembershipMessage;
import spokestall.message.Message;
import spokestall.usage.UsageMessage;

/**
 * Dispatches each message from another node to the component that handles it. Drops a message for which this node's
 * role has no component: the sender may have outdated knowledge of this node's role.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class MessageDispatcher {
    /** The components that every node has. */
    record Components(
            PartialView view,
            MembershipComponent membership,
            FeedClient feedClient,
            DiscoveryComponent discovery,
            HandoffComponent handoff) {}

    /** The components that only a core has. */
    record CoreComponents(CoreStorage storage, FeedServer feedServer, UsageComponent usage) {}

    private final Components components;
    private final CoreComponents core;
    private final ProxyComponent proxy;

    /**
     * Creates the dispatcher.
     *
     * @param core null on an edge
     * @param proxy null on a node that serves no clients
     */
    MessageDispatcher(final Components components, final CoreComponents core, final ProxyComponent proxy) {
        this.components = components;
        this.core = core;
        this.proxy = proxy;
    }

    /** Handles one message. */
    void onMessage(final Message received) {
        if (received instanceof GossipMessage message) {
            components.view.onMessage(message);
        } else if (received instanceof ConsensusMessage message) {
            components.membership.onMessage(message);
        } else if (received instanceof BootstrapMessage message) {
            components.membership.onMessage(message);
        } else if (received instanceof MembershipMessage message) {
            onMembershipMessage(message);
        } else if (received instanceof FeedMessage message) {
            onFeedMessage(message);
        } else if (received instanceof DiscoveryMessage.Push message) {
            components.discovery.onMessage(message);
        } else if (received instanceof UsageMessage message) {
            onUsageMessage(message);
        } else if (received instanceof HandoffMessage message) {
            components.handoff.onMessage(message, proxy == null ? null : proxy.admissionController);
        }
    }

    /** Processes the message, then replays the hints stored for a voter whose status says that it votes. */
    private void onMembershipMessage(final MembershipMessage message) {
        components.membership.onMessage(message);
        if (core != null && message instanceof MembershipMessage.VoterStatus voterStatus && voterStatus.voting()) {
            components.handoff.replayHints(voterStatus, core.storage.acceptor);
        }
    }

    /**
     * Dispatches to the feed server on a core, and to the feed client on every node: only cores answer requests, while
     * any node handles responses and updates.
     */
    private void onFeedMessage(final FeedMessage message) {
        if (core != null) {
            core.feedServer.onMessage(message);
        }
        components.feedClient.onMessage(message);
    }

    private void onUsageMessage(final UsageMessage message) {
        if (message instanceof UsageMessage.CountsAcknowledged acknowledged && proxy != null) {
            proxy.onCountsAcknowledged(acknowledged);
        }
        if (core != null) {
            core.usage.onMessage(message);
        }
    }
}
