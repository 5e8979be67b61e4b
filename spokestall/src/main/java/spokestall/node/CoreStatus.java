package spokestall.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import spokestall.configuration.feed.FeedServer;
import spokestall.configuration.feed.TrackedEdge;

/**
 * The fields of {@code status} that only a core has: the states of its voter and its disk, the lease on reporting
 * usage, the hints stored for other voters, and the edges that request the feed from this core.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class CoreStatus implements StatusCalls.RoleStatus {
    private final NodeContext context;
    private final CoreStorage storage;
    private final UsageComponent usage;
    private final HandoffComponent handoff;
    private final FeedServer feedServer;

    CoreStatus(
            final NodeContext context,
            final CoreStorage storage,
            final UsageComponent usage,
            final HandoffComponent handoff,
            final FeedServer feedServer) {
        this.context = context;
        this.storage = storage;
        this.usage = usage;
        this.handoff = handoff;
        this.feedServer = feedServer;
    }

    @Override
    public void describe(final ObjectNode status) {
        status.put("voter", storage.acceptor.state().name())
                .put("ring", storage.segmentedLog.state().name())
                .put("ringFill", storage.segmentedLog.fill())
                .put("registers", storage.acceptor.registers().size());
        addLease(status.putObject("duty"));
        final ObjectNode hints = status.putObject("hints");
        handoff.hints.sizes().forEach(hints::put);
        final ObjectNode edges = status.putObject("edges");
        feedServer
                .edges()
                .forEach((name, edge) -> edges.putObject(name)
                        .put("fresh", edge.fresh())
                        .put("open", edge.openRequests())
                        .put("leaving", edge.info().leaving())
                        .put("heardMs", context.clock.nowMs() - edge.lastRequestMs()));
    }

    private void addLease(final ObjectNode lease) {
        lease.put("state", usage.leaseManager.state().name());
        if (usage.leaseManager.observedLease() != null) {
            lease.put("holder", usage.leaseManager.observedLease().holder())
                    .put("token", usage.leaseManager.observedLease().fencingToken());
        }
        lease.put("lastSealed", usage.reporter.lastSealed()).put("missed", usage.reporter.missed());
    }

    /** Adds the number of requests in flight at the zone's edges; the zone is empty once there are none. */
    @Override
    public void describeEvacuation(final String zone, final ObjectNode evacuationStatus) {
        int openRequests = 0;
        for (final TrackedEdge edge : feedServer.edges().values()) {
            openRequests += edge.info().zone().equals(zone) ? edge.openRequests() : 0;
        }
        evacuationStatus.put("open", openRequests).put("empty", openRequests == 0);
    }
}
