/**
 * How every node follows the configuration and knows that it is the newest.
 *
 * <p>Owns: the follower of a core's feed and its freshness confirmation ({@link spokestall.configuration.feed.FeedClient}), the messages of
 * the feed, and the register keys of configuration versions ({@link spokestall.configuration.feed.ConfigurationKeys}).
 *
 * <p>Invariants: a confirmation is as old as the request that asked for it, never as the answer. It holds only if a majority of
 * the voters of one table answered that same request and the newest version that any of them accepted is in force here.
 * Versions are applied in order and only rise.
 *
 * <p>Callers: {@code Node} ticks it and hands it messages; {@code edge} asks whether it is fresh; {@code policy.Acceptance}
 * asks it for the newest version before it proposes the next.
 */
package spokestall.configuration.feed;
