package spokestall.proxy;

import java.util.Collection;
import java.util.List;
import spokestall.gossip.NodeInfo;

/**
 * The edges that clients are sent to, as an immutable list. Thread-safe: published by the node's event loop, read by any
 * thread without waiting for it. A response made from a list stays valid for as long as {@link #edges} is the same object.
 */
public final class EdgeDirectory {
    private volatile List<NodeInfo> edges = List.of();

    /** Replaces the edges; a list that names the same ones leaves the published object as it is. */
    public void publish(final Collection<NodeInfo> now) {
        if (!sameEdges(now)) {
            edges = List.copyOf(now);
        }
    }

    /** The edges last published. */
    public List<NodeInfo> edges() {
        return edges;
    }

    private boolean sameEdges(final Collection<NodeInfo> now) {
        if (now.size() != edges.size()) {
            return false;
        }
        int i = 0;
        for (final NodeInfo member : now) {
            if (!sameEdges(member, edges.get(i++))) {
                return false;
            }
        }
        return true;
    }

    private static boolean sameEdges(final NodeInfo one, final NodeInfo other) {
        return one.httpAddress().equals(other.httpAddress())
                && one.zone().equals(other.zone())
                && one.region().equals(other.region())
                && one.leaving() == other.leaving();
    }
}
