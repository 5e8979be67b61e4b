package spokestall.node;

import spokestall.configuration.feed.FeedServer;

/** The feed server's options, read from the current settings at each call. */
final class FeedServerOptions implements FeedServer.Options {
    private final NodeContext context;

    FeedServerOptions(final NodeContext context) {
        this.context = context;
    }

    @Override
    public long messageVersion() {
        return context.settings().integer("noteVersion");
    }

    @Override
    public long edgeTimeoutMs() {
        return context.settings().peerTimeoutMillis();
    }
}
