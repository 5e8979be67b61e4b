package spokestall.configuration.feed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.gossip.NodeInfo;
import spokestall.gossip.PartialView;
import spokestall.message.Fingerprints;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/** Tracks the edges that send requests to this core, by name. Not thread-safe; call only on the node's event loop. */
final class EdgeTracker {
    private final PartialView view;
    private final Clock clock;
    private final FleetClock fleetClock;
    private final Map<String, TrackedEdge> edges = new TreeMap<>();
    /** The name of the edge that most recently used each address. */
    private final Map<String, String> nameByAddress = new HashMap<>();

    EdgeTracker(final PartialView view, final Clock clock, final FleetClock fleetClock) {
        this.view = view;
        this.clock = clock;
        this.fleetClock = fleetClock;
    }

    /** Returns a live, unmodifiable view of all edges by name. */
    Map<String, TrackedEdge> edges() {
        return Collections.unmodifiableMap(edges);
    }

    /** Records the edge that sent a full request, which contains the edge's complete node information. */
    void onRequest(final FeedMessage.FeedRequest request) {
        put(new TrackedEdge(request.node(), request.fresh(), request.openRequests(), clock.nowMs()));
    }

    /**
     * Records the edge that sent a freshness request, which contains only an address and an incarnation.
     *
     * @return whether the sender was found with the same incarnation, among the tracked edges or the gossip members
     */
    boolean onRequest(final FeedMessage.FreshnessRequest request) {
        final NodeInfo known = findSender(request);
        if (known == null) {
            return false;
        }
        put(new TrackedEdge(
                known.seenAt(fleetClock.nowMs(), request.draining()),
                request.fresh(),
                request.openRequests(),
                clock.nowMs()));
        return true;
    }

    private NodeInfo findSender(final FeedMessage.FreshnessRequest request) {
        final TrackedEdge tracked = edges.get(nameByAddress.getOrDefault(request.from(), ""));
        if (tracked != null && isSender(tracked.info(), request)) {
            return tracked.info();
        }
        NodeInfo found = null;
        for (final NodeInfo member : view.members()) {
            found = isSender(member, request) ? member : found;
        }
        return found;
    }

    private static boolean isSender(final NodeInfo info, final FeedMessage.FreshnessRequest request) {
        return info.incarnation() == request.incarnation() && info.address().equals(request.from());
    }

    private void put(final TrackedEdge edge) {
        edges.put(edge.info().name(), edge);
        nameByAddress.put(edge.info().address(), edge.info().name());
    }

    /** Removes edges that have not sent a request for longer than {@code maxAgeMs}. */
    void prune(final long maxAgeMs) {
        edges.values().removeIf(edge -> clock.nowMs() - edge.lastRequestMs() > maxAgeMs);
        nameByAddress.values().retainAll(edges.keySet());
    }

    /**
     * Returns the edges that can serve clients: the last request arrived within {@code maxAgeMs}, and reported a valid freshness
     * lease and an edge that isn't draining.
     */
    Collection<NodeInfo> serving(final long maxAgeMs) {
        final List<NodeInfo> found = new ArrayList<>();
        for (final TrackedEdge edge : edges.values()) {
            if (edge.fresh() && !edge.info().leaving() && clock.nowMs() - edge.lastRequestMs() <= maxAgeMs) {
                found.add(edge.info());
            }
        }
        return found;
    }

    /** Returns an order-dependent digest of the edge fields that feed clients use. */
    static long digest(final Collection<NodeInfo> edges) {
        final StringBuilder all = new StringBuilder();
        for (final NodeInfo edge : edges) {
            all.append(edge.name())
                    .append(' ')
                    .append(edge.httpAddress())
                    .append(' ')
                    .append(edge.address())
                    .append(' ')
                    .append(edge.zone())
                    .append(' ')
                    .append(edge.incarnation())
                    .append(edge.leaving())
                    .append('\n');
        }
        return Fingerprints.of(all.toString());
    }
}
