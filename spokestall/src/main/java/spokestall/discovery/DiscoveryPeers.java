package spokestall.discovery;

import java.util.Collection;
import java.util.List;
import spokestall.gossip.NodeInfo;

/** The nodes that discovery messages are sent to, as known at the time of the call. */
public interface DiscoveryPeers {
    /** Returns the known cores without this node, sorted by name. */
    List<NodeInfo> otherCores();

    /** Returns all known nodes without this one, sorted by name. */
    Collection<NodeInfo> otherNodes();
}
