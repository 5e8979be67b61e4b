package spokestall.configuration.feed;

import java.util.List;
import spokestall.gossip.NodeInfo;
import spokestall.time.Clock;

/** The edges that a core last reported, with the digest that lets the next response omit them. Not thread-safe. */
final class ReportedEdges {
    private final Clock clock;
    private List<NodeInfo> edges = List.of();
    private long digest;
    private long reportedMs = Long.MIN_VALUE / 2;

    ReportedEdges(final Clock clock) {
        this.clock = clock;
    }

    long digest() {
        return digest;
    }

    /** Takes the edges of a response; one that omits them confirms those here if its digest is the same. */
    void onResponse(final FeedMessage.FeedResponse response) {
        if (!response.edgesOmitted()) {
            edges = response.edges();
            digest = response.edgesDigest();
        } else if (response.edgesDigest() != digest) {
            return;
        }
        reportedMs = clock.nowMs();
    }

    /** Returns the edges if they were reported within this time, else none. */
    List<NodeInfo> reportedWithin(final long maxAgeMs) {
        return clock.nowMs() - reportedMs <= maxAgeMs ? edges : List.of();
    }
}
