package spokestall.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import spokestall.configuration.feed.FeedClient;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.proxy.EdgeDirectory;

/** The edges that clients are told of. */
final class KnownEdges {
    private final NodeContext context;
    private final PartialView view;
    private final FeedClient follower;
    private final FeedServer feeds;
    private final BooleanSupplier ready;
    private final long startedMs;
    final EdgeDirectory directory = new EdgeDirectory();

    /** ready tells whether this node serves now. */
    KnownEdges(
            final NodeContext context,
            final PartialView view,
            final FeedClient follower,
            final FeedServer feeds,
            final BooleanSupplier ready) {
        this.context = context;
        this.view = view;
        this.follower = follower;
        this.feeds = feeds;
        this.ready = ready;
        this.startedMs = context.clock.nowMs();
    }

    /**
     * The edges believed to serve: those whose own word is fresh, this one among them, or those last named while no core answers.
     * One that is known but said nothing of itself is not named: a client would be refused there, and leave what it has.
     */
    Collection<NodeInfo> forClients() {
        final Map<String, NodeInfo> found = new TreeMap<>();
        heard().forEach(e -> found.put(e.name(), e));
        if (ready.getAsBoolean() && (!found.isEmpty() || !justStarted())) {
            // Alone it is named only once the others have had time to be heard, or all clients would come to it.
            found.put(context.name, view.self());
        }
        if (found.isEmpty()) {
            follower.edges(context.settings().fractionOf("leaveBoundMs", 2)).forEach(e -> found.put(e.name(), e));
        }
        if (view.self().leaving()) {
            found.remove(context.name);
        }
        return found.values();
    }

    /** A core that has just started, or that nobody asks since it has no seat, goes by the word of another core. */
    private Collection<NodeInfo> heard() {
        final long spanMs = context.settings().peerTimeoutMillis();
        if (!context.core) {
            return follower.edges(spanMs);
        }
        final Collection<NodeInfo> asking = feeds.freshEdges();
        if (!asking.isEmpty() && !justStarted()) {
            return asking;
        }
        final List<NodeInfo> both = new ArrayList<>(follower.edges(spanMs));
        both.addAll(asking);
        return both;
    }

    /** Whether others may not have been heard yet. */
    private boolean justStarted() {
        return context.clock.nowMs() - startedMs < context.settings().peerTimeoutMillis();
    }

    /** Clients are told of what was heard up to now. */
    void publish() {
        directory.publish(forClients());
    }
}
