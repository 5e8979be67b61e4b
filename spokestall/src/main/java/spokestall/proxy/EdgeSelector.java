package spokestall.proxy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import spokestall.gossip.NodeInfo;

/** Selects the edges that a client is to use: the same ones for the same client, spread over all edges by rendezvous hashing. */
public final class EdgeSelector {
    private EdgeSelector() {}

    /** Selects up to {@code most} edges, in the home regions and outside drained zones. */
    public static List<NodeInfo> elect(
            final String client,
            final Collection<NodeInfo> edges,
            final Set<String> homeRegions,
            final Set<String> holds,
            final int most) {
        final List<NodeInfo> fit = new ArrayList<>();
        for (final NodeInfo edge : edges) {
            if (!edge.leaving() && homeRegions.contains(edge.region()) && !holds.contains(edge.zone())) {
                fit.add(edge);
            }
        }
        fit.sort(Comparator.comparingLong((NodeInfo e) -> weight(client, e.name()))
                .thenComparing(NodeInfo::name));
        return fit.subList(0, Math.min(most, fit.size()));
    }

    /** The edges of the zone; of the region where the zone has only one; or all where the region has none. */
    public static List<NodeInfo> near(final Collection<NodeInfo> edges, final String region, final String zone) {
        final List<NodeInfo> here = new ArrayList<>();
        final List<NodeInfo> around = new ArrayList<>();
        final List<NodeInfo> all = new ArrayList<>();
        for (final NodeInfo edge : edges) {
            if (!edge.leaving()) {
                all.add(edge);
                if (edge.region().equals(region)) {
                    around.add(edge);
                    if (edge.zone().equals(zone)) {
                        here.add(edge);
                    }
                }
            }
        }
        return here.size() > 1 ? here : around.isEmpty() ? all : around;
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
