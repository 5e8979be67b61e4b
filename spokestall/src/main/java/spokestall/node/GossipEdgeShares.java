package spokestall.node;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import spokestall.discovery.RendezvousRank;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.proxy.EdgeShares;

/**
 * Divides fleet-wide limits among the edges. The number of edges is the configured count, or else the largest number of
 * edges that the gossip view has contained at any one time. An edge that leaves the view temporarily, because it is
 * partitioned or restarting, keeps its share, so that the other edges' shares don't grow.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class GossipEdgeShares implements EdgeShares {
    private final PartialView view;
    private final boolean selfServesClients;
    private final IntSupplier configuredEdges;
    /** The other edges by name, ordered by when the view last contained them, the most recent last. */
    private final Map<String, NodeInfo> otherEdges = new LinkedHashMap<>();

    private int maxOthersSeen;
    /** The version of the view that was last read. */
    private long lastViewVersion = -1;

    /**
     * Creates an instance that knows no other edge.
     *
     * @param view the other nodes
     * @param selfServesClients whether this node serves clients
     * @param configuredEdges the number of edges in the settings, or zero if it is not set
     */
    GossipEdgeShares(final PartialView view, final boolean selfServesClients, final IntSupplier configuredEdges) {
        this.view = view;
        this.selfServesClients = selfServesClients;
        this.configuredEdges = configuredEdges;
    }

    @Override
    public int edges() {
        if (configuredEdges.getAsInt() > 0) {
            return configuredEdges.getAsInt();
        }
        refresh();
        return Math.max(1, otherEdges.size() + (selfServesClients ? 1 : 0));
    }

    @Override
    public int rank(final String instance, final String region) {
        refresh();
        final long ownRank = RendezvousRank.of(view.self(), instance, region);
        int before = 0;
        for (final NodeInfo edge : otherEdges.values()) {
            before += RendezvousRank.of(edge, instance, region) < ownRank ? 1 : 0;
        }
        return before;
    }

    private void refresh() {
        if (view.version() == lastViewVersion) {
            return;
        }
        lastViewVersion = view.version();
        int seen = 0;
        for (final NodeInfo member : view.members()) {
            if (member.servesClients()) {
                seen++;
                otherEdges.remove(member.name());
                otherEdges.put(member.name(), member);
            }
        }
        maxOthersSeen = Math.max(maxOthersSeen, seen);
        while (otherEdges.size() > maxOthersSeen) {
            otherEdges.remove(otherEdges.keySet().iterator().next());
        }
    }
}
