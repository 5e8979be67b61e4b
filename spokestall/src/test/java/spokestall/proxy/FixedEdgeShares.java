package spokestall.proxy;

/** Shares of an edge whose rank is the same for each upstream. */
record FixedEdgeShares(int edges, int fixedRank) implements EdgeShares {
    @Override
    public int rank(final String instance, final String region) {
        return fixedRank;
    }
}
