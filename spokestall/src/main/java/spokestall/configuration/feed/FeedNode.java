package spokestall.configuration.feed;

import java.util.List;
import spokestall.gossip.NodeInfo;

/** The node that a {@link FeedClient} runs in, as it describes itself to cores. Called on the node's event loop. */
public interface FeedNode {
    /** Returns this node's present information; its address never changes. */
    NodeInfo info();

    /** Returns how many client requests this node has in flight. */
    int openRequests();

    /** Returns the addresses of cores known otherwise, for requests while this node knows no voter set. */
    List<String> coreAddresses();

    /** Returns how far away an address is, 0 being this node; updates are requested of the nearest core. */
    int distanceTo(String address);
}
