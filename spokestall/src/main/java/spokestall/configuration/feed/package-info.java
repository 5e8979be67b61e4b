/**
 * Distributes the configuration to every node, and lets each node determine whether it has the newest version.
 *
 * <p>Owns: the client that fetches updates from the cores ({@link spokestall.configuration.feed.FeedClient}), its freshness lease
 * ({@link spokestall.configuration.feed.FreshnessLease}), the server on a core
 * ({@link spokestall.configuration.feed.FeedServer}), the messages between them
 * ({@link spokestall.configuration.feed.FeedMessage}), and the register keys of configuration versions
 * ({@link spokestall.configuration.feed.ConfigurationKeys}).
 *
 * <p>Invariants: the freshness lease starts when a round of requests is sent, not when it is answered. A round renews the lease
 * only if a majority of the voters of one voter set answered that round and the newest version that any of them accepted is
 * applied here. Versions are applied in order and only increase.
 *
 * <p>Callers: {@code spokestall.node} ticks the client and passes messages to client and server; {@code spokestall.proxy}
 * serves requests only while the lease is valid; {@code spokestall.configuration.change} waits for a confirmation before it
 * evaluates a change. All code runs on the node's event loop.
 */
package spokestall.configuration.feed;
