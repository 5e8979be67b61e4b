package spokestall.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import spokestall.gossip.NodeInfo;

/** Selects the edges that a client should use. Rendezvous hashing gives a client the same edges each time and spreads clients. */
public final class EdgeSelector {
    private EdgeSelector() {}

    /** Selects up to {@code maxEdges} edges that are in the home regions, outside drained zones and not leaving. */
    public static List<NodeInfo> select(
            final String client,
            final Collection<NodeInfo> edges,
            final Set<String> homeRegions,
            final Set<String> drainedZones,
            final int maxEdges) {
        final List<NodeInfo> eligible = new ArrayList<>();
        for (final NodeInfo edge : edges) {
            if (!edge.leaving() && homeRegions.contains(edge.region()) && !drainedZones.contains(edge.zone())) {
                eligible.add(edge);
            }
        }
        eligible.sort(Comparator.comparingLong((NodeInfo e) -> weight(client, e.name()))
                .thenComparing(NodeInfo::name));
        return eligible.subList(0, Math.min(maxEdges, eligible.size()));
    }

    /**
     * Returns the edges nearest to a zone, without those that are leaving: the zone's edges if it has at least two, else the
     * region's edges, or all edges if the region has none.
     */
    public static List<NodeInfo> nearest(final Collection<NodeInfo> edges, final String region, final String zone) {
        final List<NodeInfo> sameZone = new ArrayList<>();
        final List<NodeInfo> sameRegion = new ArrayList<>();
        final List<NodeInfo> all = new ArrayList<>();
        for (final NodeInfo edge : edges) {
            if (!edge.leaving()) {
                all.add(edge);
                if (edge.region().equals(region)) {
                    sameRegion.add(edge);
                    if (edge.zone().equals(zone)) {
                        sameZone.add(edge);
                    }
                }
            }
        }
        return sameZone.size() > 1 ? sameZone : sameRegion.isEmpty() ? all : sameRegion;
    }

    private static long weight(final String client, final String edge) {
        long h = 0xcbf29ce484222325L;
        final String both = client + "\0" + edge;
        for (int i = 0; i < both.length(); i++) {
            h = (h ^ both.charAt(i)) * 0x100000001b3L;
        }
        h ^= h >>> 32;
        h *= 0xd6e8feb86659fd93L;
        return h ^ h >>> 32;
    }
}
