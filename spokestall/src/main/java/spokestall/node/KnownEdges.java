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
 * Decides which edges are named to clients, and publishes them to the {@link EdgeDirectory}.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The directory itself may be read by any thread.
 */
final class KnownEdges {
    /** For how many leave bounds the edges last named are kept while no core answers. */
    private static final int LEAVE_BOUNDS_WITHOUT_CORES = 2;

    private final NodeContext context;
    private final PartialView view;
    private final FeedClient feedClient;
    private final FeedServer feedServer;
    private final BooleanSupplier ready;
    private final long startedMs;
    final EdgeDirectory directory = new EdgeDirectory();

    /**
     * Creates it with an empty directory.
     *
     * @param view gives this node's own entry
     * @param feedClient gives the edges that a core last named
     * @param feedServer gives the edges that requested updates of this node, if it is a core
     * @param ready whether this node answers clients now
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
     * Returns the edges to name to clients, in the order of their names: those that reported of late that they are fresh, and
     * this node if it is ready; those last named while no core answers. An edge that is known but didn't report isn't named: it
     * would reject a client that left a working edge for it.
     */
    Collection<NodeInfo> forClients() {
        final Map<String, NodeInfo> edges = new TreeMap<>();
        reportedEdges().forEach(edge -> edges.put(edge.name(), edge));
        if (ready.getAsBoolean() && (!edges.isEmpty() || !justStarted())) {
            // If this node is the only one, it is named only after others had time to report, else all clients would
            // move here.
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

    /** A core that has just started, or that no edge contacts since it isn't a voter, uses what another core reports too. */
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
        // Later entries replace earlier ones of the same name: this node's own knowledge wins.
        all.addAll(reportedHere);
        return all;
    }

    /** Whether edges may not have had time to report yet. */
    private boolean justStarted() {
        return context.clock.nowMs() - startedMs < context.settings().peerTimeoutMillis();
    }

    /** Publishes the edges that are named to clients from now on. */
    void publish() {
        directory.publish(forClients());
    }
}
