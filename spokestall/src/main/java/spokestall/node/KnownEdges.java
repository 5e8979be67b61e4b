package spokestall.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import spokestall.configuration.feed.FeedClient;
import spokestall.configuration.feed.FeedServer;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.proxy.EdgeDirectory;

/**
 * Selects the edges that are listed to clients, and publishes them to the {@link EdgeDirectory}.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The directory may be read by any thread.
 */
final class KnownEdges {
    /** How long the last listed edges are kept while no core answers, as a multiple of {@code leaveBoundMs}. */
    private static final int LEAVE_BOUNDS_WITHOUT_CORES = 2;

    private final NodeContext context;
    private final PartialView view;
    private final FeedClient feedClient;
    private final FeedServer feedServer;
    private final BooleanSupplier ready;
    private final long startedMs;
    final EdgeDirectory directory = new EdgeDirectory();

    /**
     * Creates an instance with an empty directory.
     *
     * @param view returns this node's own entry
     * @param feedClient returns the edges that a core last listed
     * @param feedServer returns the edges that requested updates from this node, if it is a core
     * @param ready returns whether this node serves clients now
     */
    KnownEdges(
            final NodeContext context,
            final PartialView view,
            final FeedClient feedClient,
            final FeedServer feedServer,
            final BooleanSupplier ready) {
        this.context = context;
        this.view = view;
        this.feedClient = feedClient;
        this.feedServer = feedServer;
        this.ready = ready;
        this.startedMs = context.clock.nowMs();
    }

    /**
     * Returns the edges to list to clients, ordered by name. These are the edges that recently reported to be fresh,
     * and this node if it is ready. While no core answers, they are the edges that were last listed. A known edge that
     * did not report is not listed: it would reject a client that left a working edge for it.
     */
    Collection<NodeInfo> forClients() {
        final Map<String, NodeInfo> edges = new TreeMap<>();
        reportedEdges().forEach(edge -> edges.put(edge.name(), edge));
        if (ready.getAsBoolean() && (!edges.isEmpty() || !justStarted())) {
            // A node that is alone is listed only after other edges had time to report; otherwise all clients would
            // move to this node.
            edges.put(context.name, view.self());
        }
        if (edges.isEmpty()) {
            feedClient
                    .edgesReportedWithin(context.settings().fractionOf("leaveBoundMs", LEAVE_BOUNDS_WITHOUT_CORES))
                    .forEach(edge -> edges.put(edge.name(), edge));
        }
        if (view.self().leaving()) {
            edges.remove(context.name);
        }
        return edges.values();
    }

    /**
     * Returns the edges that reported recently. A core that has just started, or that receives no reports because it
     * isn't a voter, also uses the edges that another core reports.
     */
    private Collection<NodeInfo> reportedEdges() {
        final long freshMs = context.settings().peerTimeoutMillis();
        if (!context.core) {
            return feedClient.edgesReportedWithin(freshMs);
        }
        final Collection<NodeInfo> reportedHere = feedServer.servingEdges();
        if (!reportedHere.isEmpty() && !justStarted()) {
            return reportedHere;
        }
        final List<NodeInfo> all = new ArrayList<>(feedClient.edgesReportedWithin(freshMs));
        // Later entries replace earlier ones of the same name, so this node's own observation takes precedence.
        all.addAll(reportedHere);
        return all;
    }

    /** Returns whether edges may not have had time to report to this node yet. */
    private boolean justStarted() {
        return context.clock.nowMs() - startedMs < context.settings().peerTimeoutMillis();
    }

    /** Publishes the current list of edges for clients. */
    void publish() {
        directory.publish(forClients());
    }
}
