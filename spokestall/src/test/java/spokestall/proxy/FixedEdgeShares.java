package spokestall.proxy;

/** Shares of an edge with the same rank for all upstreams. */
record FixedEdgeShares(int edges, int fixedRank) implements EdgeShares {
    @Override
    public int rank(final String instance, final String region) {
        return fixedRank;
    }
}
