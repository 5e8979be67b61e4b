package spokestall.gossip;

import spokestall.message.SinceVersion;

/** A node as others speak of it: where it is, what it does, and when it was last heard, on the fleet's clock.
 * cores and edges are the counts it is configured with, zero when it did not say. */
public record NodeInfo(
        String name,
        String address,
        String httpAddress,
        boolean core,
        String district,
        String region,
        long life,
        long heardMs,
        boolean leaving,
        @SinceVersion(2) int cores,
        @SinceVersion(2) int edges,
        @SinceVersion(3) boolean alsoEdge) {
    /** Whether it answers callers. Example: {@code if (member.serves()) list.add(member.httpAddress());} */
    public boolean serves() {
        return !core || alsoEdge;
    }

    /** The same node, heard at another time, leaving or not. Example: {@code member.at(fleet.nowMs(), true)} */
    public NodeInfo at(final long ms, final boolean goes) {
        return new NodeInfo(name, address, httpAddress, core, district, region, life, ms, goes, cores, edges, alsoEdge);
    }
}
