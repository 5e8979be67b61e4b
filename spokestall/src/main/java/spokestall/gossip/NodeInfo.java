package spokestall.gossip;

import spokestall.message.SinceVersion;

/**
 * Membership entry of one node: its addresses, role and failure domain, and when it was last seen. Immutable. Messages encode it
 * by the order of its components, which must not change.
 *
 * @param name the node's name, unique in the fleet
 * @param address the address for messages from other nodes
 * @param httpAddress the address for client requests, if the node serves clients
 * @param core whether the node has a disk and may vote
 * @param zone the node's zone
 * @param region the node's region
 * @param incarnation the number of the node's process, larger after each restart
 * @param lastSeenMs when the node was last seen alive, on the fleet's clock
 * @param leaving whether the node is shutting down
 * @param cores the number of cores in the node's settings, zero if the node didn't report it
 * @param edges the number of edges in the node's settings, zero if the node didn't report it
 * @param alsoEdge whether the node is a core that also serves clients
 */
public record NodeInfo(
        String name,
        String address,
        String httpAddress,
        boolean core,
        String zone,
        String region,
        long incarnation,
        long lastSeenMs,
        boolean leaving,
        @SinceVersion(2) int cores,
        @SinceVersion(2) int edges,
        @SinceVersion(3) boolean alsoEdge) {
    /** Returns whether the node serves clients. */
    public boolean servesClients() {
        return !core || alsoEdge;
    }

    /** Returns this entry with the time when the node was last seen, on the fleet's clock, and whether it was leaving then. */
    public NodeInfo seenAt(final long seenMs, final boolean isLeaving) {
        return new NodeInfo(
                name, address, httpAddress, core, zone, region, incarnation, seenMs, isLeaving, cores, edges, alsoEdge);
    }
}
