package spokestall.gossip;

import java.util.List;
import spokestall.message.Message;

/** What neighbours say to each other. */
public sealed interface GossipMessage extends Message {
    /** A sample of a view, offered for another, with the sender's time. */
    record Shuffle(
            String from,
            NodeInfo self,
            long sentMs,
            boolean reply,
            long echoMs,
            long fleetMs,
            boolean settled,
            List<NodeInfo> sample)
            implements GossipMessage {}
}
