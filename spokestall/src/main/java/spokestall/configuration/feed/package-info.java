/**
 * How every node follows the configuration and knows that it has the newest version.
 *
 * <p>Owns: the client that follows a core's feed ({@link spokestall.configuration.feed.FeedClient}), its freshness lease
 * ({@link spokestall.configuration.feed.FreshnessLease}), the server on a core
 * ({@link spokestall.configuration.feed.FeedServer}), the messages between them
 * ({@link spokestall.configuration.feed.FeedMessage}), and the register keys of configuration versions
 * ({@link spokestall.configuration.feed.ConfigurationKeys}).
 *
 * <p>Invariants: the freshness lease runs from when a round of requests was sent, never from its answers. A round renews it
 * only if a majority of the voters of one voter set answered that same round and the newest version that any of them accepted
 * is applied here. Versions are applied in order and only rise.
 *
 * <p>Callers: {@code spokestall.node} ticks client and server and hands them messages; {@code spokestall.proxy} serves only
 * while the lease is valid; {@code spokestall.configuration.change} waits for a confirmation before it judges a change.
 * Everything runs on the node's event loop.
 */
package spokestall.configuration.feed;
