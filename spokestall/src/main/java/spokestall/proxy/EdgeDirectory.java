package spokestall.proxy;

import java.util.Collection;
import java.util.List;
import spokestall.gossip.NodeInfo;

/**
 * The edges that clients are told of, as an immutable list: published by the node's stage, read by any thread. An answer made
 * from it does not wait for the stage, and holds for as long as the list is the same object.
 */
public final class EdgeDirectory {
    private volatile List<NodeInfo> edges = List.of();

    /** Takes the edges as they are believed to serve now; a list that names the same ones keeps its place. */
    public void publish(final Collection<NodeInfo> now) {
        if (!same(now)) {
            edges = List.copyOf(now);
        }
    }

    /** The edges last published. */
    public List<NodeInfo> edges() {
        return edges;
    }

    private boolean same(final Collection<NodeInfo> now) {
        if (now.size() != edges.size()) {
            return false;
        }
        int i = 0;
        for (final NodeInfo member : now) {
            if (!same(member, edges.get(i++))) {
                return false;
            }
        }
        return true;
    }

    private static boolean same(final NodeInfo one, final NodeInfo other) {
        return one.httpAddress().equals(other.httpAddress())
                && one.zone().equals(other.zone())
                && one.region().equals(other.region())
                && one.leaving() == other.leaving();
    }
}
