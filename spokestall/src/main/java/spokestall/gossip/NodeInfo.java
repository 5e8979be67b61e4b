package spokestall.gossip;

import spokestall.message.SinceVersion;

/**
 * What nodes exchange about one node: its addresses, role and failure domain, and when it was last seen. Immutable; part of
 * numbered messages, so the order of its components must not change.
 *
 * @param name the node's name, unique in the fleet
 * @param address where it receives messages of other nodes
 * @param httpAddress where it answers clients, if it does
 * @param core whether it has a disk and may vote
 * @param zone its zone
 * @param region its region
 * @param incarnation number of its process, larger after each restart
 * @param lastSeenMs when it was last heard from, on the fleet's clock
 * @param leaving whether it is shutting down
 * @param cores how many cores it is configured with, zero if it did not say
 * @param edges how many edges it is configured with, zero if it did not say
 * @param alsoEdge whether a core answers clients too
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
    /** Returns whether the node answers clients. */
    public boolean servesClients() {
        return !core || alsoEdge;
    }

    /** Returns this entry as last seen at a time on the fleet's clock, with its state of leaving at that time. */
    public NodeInfo seenAt(final long seenMs, final boolean isLeaving) {
        return new NodeInfo(
                name, address, httpAddress, core, zone, region, incarnation, seenMs, isLeaving, cores, edges, alsoEdge);
    }
}
