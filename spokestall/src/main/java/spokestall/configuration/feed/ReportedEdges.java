package spokestall.configuration.feed;

import java.util.List;
import spokestall.gossip.NodeInfo;
import spokestall.time.Clock;

/**
 * The edges in the last report of a core, with their digest. The client sends the digest in its requests, so that a response can
 * omit an unchanged list. Not thread-safe.
 */
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

    /** Stores the edges of a response. A response that omits them confirms the stored edges if its digest matches. */
    void onResponse(final FeedMessage.FeedResponse response) {
        if (!response.edgesOmitted()) {
            edges = response.edges();
            digest = response.edgesDigest();
        } else if (response.edgesDigest() != digest) {
            return;
        }
        reportedMs = clock.nowMs();
    }

    /** Returns the edges if they were reported or confirmed within {@code maxAgeMs}; otherwise an empty list. */
    List<NodeInfo> reportedWithin(final long maxAgeMs) {
        return clock.nowMs() - reportedMs <= maxAgeMs ? edges : List.of();
    }
}
