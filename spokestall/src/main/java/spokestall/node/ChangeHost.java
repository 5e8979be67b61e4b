package spokestall.node;

import spokestall.configuration.change.ChangeCoordinator;
import spokestall.configuration.feed.FeedServer;

/**
 * Connects the change coordinator to its node: supplies the node's name and the fleet's time, and announces committed
 * versions to the other nodes.
 */
final class ChangeHost implements ChangeCoordinator.Host {
    private final NodeContext context;
    private final FeedServer feedServer;

    ChangeHost(final NodeContext context, final FeedServer feedServer) {
        this.context = context;
        this.feedServer = feedServer;
    }

    @Override
    public String name() {
        return context.name;
    }

    @Override
    public long fleetMs() {
        return context.fleetClock.settled() ? context.fleetClock.nowMs() : 0;
    }

    @Override
    public void onCommitted(final long version) {
        feedServer.announce(version);
    }
}
