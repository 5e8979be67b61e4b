package spokestall.discovery;

import spokestall.gossip.NodeInfo;

/** An order of nodes for each instance, the same wherever it is computed: those of its region come first. */
public final class RendezvousRank {
    /** Spreads the instances over the nodes: 2^32 over the golden ratio. */
    private static final int HASH_MULTIPLIER = 0x9e3779b1;

    private RendezvousRank() {}

    /**
     * Returns a number by which a node is placed in the order for an instance, lowest first.
     *
     * @param instance the instance's id
     * @param region the instance's region
     */
    public static long of(final NodeInfo node, final String instance, final String region) {
        final long otherRegion = node.region().equals(region) ? 0 : 1;
        return (otherRegion << Integer.SIZE)
                + Integer.toUnsignedLong((node.name() + instance).hashCode() * HASH_MULTIPLIER);
    }
}
