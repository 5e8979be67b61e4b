package spokestall.discovery;

import java.util.Collection;
import java.util.List;
import spokestall.gossip.NodeInfo;

/** The nodes that discovery is shared with, as they are known at the time of the call. */
public interface DiscoveryPeers {
    /** Returns the known cores without this node, in the order of their names. */
    List<NodeInfo> otherCores();

    /** Returns all known nodes without this one, in the order of their names. */
    Collection<NodeInfo> otherNodes();
}
