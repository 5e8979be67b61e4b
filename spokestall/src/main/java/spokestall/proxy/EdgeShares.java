package spokestall.proxy;

/**
 * Division of fleet-wide limits among the edges. Edges with the same list of edges compute the same division without messages.
 *
 * <p>Called on the node's event loop only.
 */
public interface EdgeShares {
    /** Returns the number of edges that limits are divided among, at least 1. */
    int edges();

    /**
     * Returns this edge's rank for an upstream, from 0. Each upstream has its own order of edges, in which the edges of its
     * region come first.
     *
     * @param instance the upstream's id
     * @param region the region of the upstream
     */
    int rank(String instance, String region);

    /**
     * Returns this edge's share of a whole number of permits. The shares of all edges add up to the total as long as all of
     * them have the same list of edges.
     *
     * @param total the number of permits that the fleet has for this upstream, not negative
     */
    default int share(final int total, final String instance, final String region) {
        final int remainder = total % edges();
        final int even = total / edges();
        return remainder > 0 && rank(instance, region) < remainder ? even + 1 : even;
    }
}
