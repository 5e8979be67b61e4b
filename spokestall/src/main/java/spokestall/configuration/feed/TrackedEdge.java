package spokestall.configuration.feed;

import spokestall.gossip.NodeInfo;

/**
 * An edge's state according to its last request to this core.
 *
 * @param info the edge's node information
 * @param fresh whether the edge's freshness lease was valid
 * @param openRequests the number of client requests that the edge had in flight
 * @param lastRequestMs the arrival time of the request, on this core's monotonic clock
 */
public record TrackedEdge(NodeInfo info, boolean fresh, int openRequests, long lastRequestMs) {}
