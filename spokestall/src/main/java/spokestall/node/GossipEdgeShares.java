package spokestall.node;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import spokestall.discovery.RendezvousRank;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.proxy.EdgeShares;

/**
 * Divides fleet-wide limits among the edges. The number of edges is the configured count, or else the largest number of
 * edges that the gossip view and the last report of a core have contained together at any one time. An edge that leaves
 * both temporarily, because it is partitioned or restarting, keeps its share, so that the other edges' shares don't grow.
 *
 * <p>A node that has just started knows few edges and would take a share that belongs to others, and doesn't know what its
 * earlier incarnation took. Its share is zero during its {@link LearningPeriod}, which ends once a core, which all edges
 * report to, has listed the edges.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class GossipEdgeShares implements EdgeShares {
    private final PartialView view;
    private final boolean selfServesClients;
    private final IntSupplier configuredEdges;
    private final Supplier<List<NodeInfo>> reportedEdges;
    private final LearningPeriod learning;
    /** The other edges by name, ordered by when the view last contained them, the most recent last. */
    private final Map<String, NodeInfo> otherEdges = new LinkedHashMap<>();

    private int maxOthersSeen;
    /** The version of the view that was last read. */
    private long lastViewVersion = -1;
    /** The report that was last read. */
    private List<NodeInfo> lastReport = List.of();

    /**
     * Creates an instance that knows no other edge.
     *
     * @param view the other nodes
     * @param selfServesClients whether this node serves clients
     * @param configuredEdges the number of edges in the settings, or zero if it is not set
     * @param reportedEdges returns the edges that a core last listed, empty if none did recently; the same list object
     *     until they change
     * @param learning the period after this node's start
     */
    GossipEdgeShares(
            final PartialView view,
            final boolean selfServesClients,
            final IntSupplier configuredEdges,
            final Supplier<List<NodeInfo>> reportedEdges,
            final LearningPeriod learning) {
        this.view = view;
        this.selfServesClients = selfServesClients;
        this.configuredEdges = configuredEdges;
        this.reportedEdges = reportedEdges;
        this.learning = learning;
    }

    @Override
    public int share(final int total, final String instance, final String region) {
        return configuredEdges.getAsInt() == 0 && isLearning() ? 0 : EdgeShares.super.share(total, instance, region);
    }

    private boolean isLearning() {
        refresh();
        return !learning.isOver(!lastReport.isEmpty());
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
        final List<NodeInfo> report = reportedEdges.get();
        if (view.version() == lastViewVersion && (report.isEmpty() || report == lastReport)) {
            return;
        }
        lastViewVersion = view.version();
        lastReport = report.isEmpty() ? lastReport : report;
        final Map<String, NodeInfo> present = new TreeMap<>();
        lastReport.forEach(edge -> present.put(edge.name(), edge));
        for (final NodeInfo member : view.members()) {
            if (member.servesClients()) {
                present.put(member.name(), member);
            }
        }
        present.remove(view.self().name());
        present.forEach((name, edge) -> {
            otherEdges.remove(name);
            otherEdges.put(name, edge);
        });
        maxOthersSeen = Math.max(maxOthersSeen, present.size());
        while (otherEdges.size() > maxOthersSeen) {
            otherEdges.remove(otherEdges.keySet().iterator().next());
        }
    }
}
