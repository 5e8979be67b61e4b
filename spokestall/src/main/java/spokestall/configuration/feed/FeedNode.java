package spokestall.configuration.feed;

import java.util.List;
import spokestall.gossip.NodeInfo;

/** The node that a {@link FeedClient} runs on. Called on the node's event loop. */
public interface FeedNode {
    /** Returns this node's current information. The address must not change. */
    NodeInfo info();

    /** Returns how many client requests this node has in flight. */
    int openRequests();

    /** Returns the addresses of the cores to send requests to while this node doesn't know a voter set. */
    List<String> coreAddresses();

    /** Returns the distance to an address, 0 for this node itself. The client prefers the nearest core for updates. */
    int distanceTo(String address);
}
