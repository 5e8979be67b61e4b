package spokestall;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import spokestall.edge.Directory;
import spokestall.feed.Follower;
import spokestall.view.Member;
import spokestall.view.View;

/** The edges that clients are told of. */
final class KnownEdges {
    private final NodeContext context;
    private final View view;
    private final Follower follower;
    private final Feeds feeds;
    private final BooleanSupplier ready;
    private final long startedMs;
    final Directory directory = new Directory();

    /** ready tells whether this node serves now. */
    KnownEdges(
            final NodeContext context,
            final View view,
            final Follower follower,
            final Feeds feeds,
            final BooleanSupplier ready) {
        this.context = context;
        this.view = view;
        this.follower = follower;
        this.feeds = feeds;
        this.ready = ready;
        this.startedMs = context.clock.nowMs();
    }

    /**
     * The edges believed to serve: those whose own word is fresh. Where none is, as after a loss of power or while no core
     * answers, those last named, then those that are known at all: a caller that is told of none can only wait.
     */
    Collection<Member> forClients() {
        final Map<String, Member> found = new TreeMap<>();
        heard().forEach(e -> found.put(e.name(), e));
        if (ready.getAsBoolean()) {
            found.put(context.name, view.self());
        }
        if (found.isEmpty()) {
            follower.edges(context.settings().part("leaveBoundMs", 2)).forEach(e -> found.put(e.name(), e));
        }
        if (found.isEmpty()) {
            view.members().stream().filter(Member::serves).forEach(e -> found.put(e.name(), e));
        }
        if (view.self().leaving()) {
            found.remove(context.name);
        }
        return found.values();
    }

    /** A core that has just started, or that nobody asks since it has no seat, goes by the word of another core. */
    private Collection<Member> heard() {
        final long spanMs = context.settings().heardMs();
        if (!context.core) {
            return follower.edges(spanMs);
        }
        final Collection<Member> asking = feeds.freshEdges();
        final boolean justStarted = context.clock.nowMs() - startedMs < spanMs;
        if (!asking.isEmpty() && !justStarted) {
            return asking;
        }
        final List<Member> both = new ArrayList<>(follower.edges(spanMs));
        both.addAll(asking);
        return both;
    }

    /** Callers are told of what was heard up to now. */
    void publish() {
        directory.publish(forClients());
    }
}
