package spokestall.discovery;

import spokestall.gossip.NodeInfo;

/** Rendezvous hashing of nodes for an instance. Each node computes the same order; nodes of the instance's region come first. */
public final class RendezvousRank {
    /** Fibonacci hashing constant, 2^32 divided by the golden ratio, which spreads the instances over the nodes. */
    private static final int HASH_MULTIPLIER = 0x9e3779b1;

    private RendezvousRank() {}

    /**
     * Returns the sort key of a node in the order for an instance; the lowest key comes first.
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
