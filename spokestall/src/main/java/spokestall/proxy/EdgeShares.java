package spokestall.proxy;

/**
 * How limits of the whole fleet are divided among its edges. Edges that know the same edges agree on it without messages.
 *
 * <p>Called on the node's event loop only.
 */
public interface EdgeShares {
    /** Returns among how many edges limits are divided, at least 1. */
    int edges();

    /**
     * Returns this edge's rank for an upstream, from 0. Ranks are in an order of their own for each upstream, in which the edges of
     * its region come first.
     *
     * @param instance the upstream's id
     * @param region its region
     */
    int rank(String instance, String region);

    /**
     * Returns this edge's part of a whole number of permits: all edges' parts add up to the total, as long as they know the same
     * edges.
     *
     * @param total how many permits the fleet has for this upstream, not negative
     */
    default int share(final int total, final String instance, final String region) {
        final int remainder = total % edges();
        final int even = total / edges();
        return remainder > 0 && rank(instance, region) < remainder ? even + 1 : even;
    }
}
