package spokestall.gossip;

import java.util.List;
import spokestall.message.Message;

/** Messages of the gossip protocol. Encoded by the order of their components, which must not change. */
public sealed interface GossipMessage extends Message {
    /**
     * A sample of the sender's view, sent as a request or as the reply to one.
     *
     * @param from the sender's address, which receives the reply
     * @param self the sender's own entry
     * @param sentMs when the message was sent, on the sender's monotonic clock
     * @param reply whether this is the reply to a {@code Shuffle}; a reply isn't answered
     * @param echoMs in a reply, the {@code sentMs} of the request, which gives the round-trip time; zero in a request
     * @param fleetMs the sender's reading of the fleet's clock
     * @param settled whether the sender's fleet clock has settled
     * @param sample entries of other nodes, at most the sender's {@link ViewParameters#sampleSize()}
     */
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
