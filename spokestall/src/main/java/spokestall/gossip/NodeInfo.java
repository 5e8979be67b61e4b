package spokestall.gossip;

import spokestall.message.SinceVersion;

/** A node as others speak of it: where it is, what it does, and when it was last heard, on the fleet's clock.
 * cores and edges are the counts it is configured with, zero when it did not say. */
public record NodeInfo(
        String name,
        String address,
        String httpAddress,
        boolean core,
        String zone,
        String region,
        long incarnation,
        long heardMs,
        boolean leaving,
        @SinceVersion(2) int cores,
        @SinceVersion(2) int edges,
        @SinceVersion(3) boolean alsoEdge) {
    /** Whether it answers clients. */
    public boolean serves() {
        return !core || alsoEdge;
    }

    /** The same node, heard at another time, leaving or not. */
    public NodeInfo at(final long ms, final boolean attempts) {
        return new NodeInfo(
                name, address, httpAddress, core, zone, region, incarnation, ms, attempts, cores, edges, alsoEdge);
    }
}
