package spokestall.configuration.feed;

import spokestall.gossip.NodeInfo;

/**
 * An edge as it described itself in its last request to this core.
 *
 * @param info the edge's information
 * @param fresh whether its freshness lease was valid
 * @param openRequests how many client requests it had in flight
 * @param lastRequestMs when the request arrived, on this core's monotonic clock
 */
public record TrackedEdge(NodeInfo info, boolean fresh, int openRequests, long lastRequestMs) {}
