package spokestall.node;

import java.util.List;
import spokestall.configuration.feed.FeedListener;
import spokestall.configuration.feed.FeedNode;
import spokestall.consensus.VoterSet;
import spokestall.gossip.NodeInfo;

/**
 * Connects the feed client to its node: describes the node to the feed client, and applies the voter sets and
 * configurations that the client receives.
 */
final class FeedBinding implements FeedNode, FeedListener {
    private final NodeComponents components;
    private final NodeComponents.Listener listener;

    FeedBinding(final NodeComponents components, final NodeComponents.Listener listener) {
        this.components = components;
        this.listener = listener;
    }

    @Override
    public NodeInfo info() {
        return components.view.self();
    }

    @Override
    public int openRequests() {
        return components.openRequests();
    }

    @Override
    public List<String> coreAddresses() {
        return components.peerDirectory.coreAddresses();
    }

    @Override
    public int distanceTo(final String address) {
        return components.peerDirectory.distance(address);
    }

    @Override
    public void onNewerVoterSet(final VoterSet voterSet) {
        components.membership.adopt(voterSet);
    }

    @Override
    public void onConfigurationApplied() {
        listener.onConfigurationApplied();
    }
}
