package spokestall.proxy;

import java.util.Collection;
import java.util.List;
import spokestall.gossip.NodeInfo;

/**
 * The edges that the directory names to clients, as an immutable list.
 *
 * <p>Thread-safe: the node's event loop publishes the list, and any thread reads it without blocking. A response that was
 * built from a list stays valid for as long as {@link #edges} returns the same object.
 */
public final class EdgeDirectory {
    private volatile List<NodeInfo> edges = List.of();

    /** Publishes the edges; keeps the published list object if the new list has the same edges in the same order. */
    public void publish(final Collection<NodeInfo> newEdges) {
        if (!sameEdges(newEdges)) {
            edges = List.copyOf(newEdges);
        }
    }

    /** The last published edges. */
    public List<NodeInfo> edges() {
        return edges;
    }

    private boolean sameEdges(final Collection<NodeInfo> newEdges) {
        if (newEdges.size() != edges.size()) {
            return false;
        }
        int i = 0;
        for (final NodeInfo edge : newEdges) {
            if (!sameEdge(edge, edges.get(i++))) {
                return false;
            }
        }
        return true;
    }

    private static boolean sameEdge(final NodeInfo edge, final NodeInfo other) {
        return edge.httpAddress().equals(other.httpAddress())
                && edge.zone().equals(other.zone())
                && edge.region().equals(other.region())
                && edge.leaving() == other.leaving();
    }
}
