/**
 * Service discovery, and the health of upstreams.
 *
 * <p>Owns: what the platform's list and the cores' probes say of each instance ({@link spokestall.discovery.EndpointRegistry}), a
 * core's part in reading the list ({@link spokestall.discovery.EndpointListReader}) and in probing
 * ({@link spokestall.discovery.HealthChecker}), and the interface by which both reach the outside
 * ({@link spokestall.discovery.DiscoveryClient}).
 *
 * <p>Invariants: the entry with the newest timestamp wins, so the order and the repetition of messages don't matter. An instance
 * that any core saw leaving is not offered, whatever others say that saw it ready. The list is read by one core for all as long
 * as that core does it. Nothing is read or probed before the fleet's clock has settled.
 *
 * <p>Callers: {@code node.DiscoveryComponent} ticks the reader and the checker and merges what other cores send;
 * {@code configuration.feed.FeedClient} merges what it fetched; {@code proxy.LoadBalancer} takes ready upstreams. All of it runs
 * on the node's event loop.
 */
package spokestall.discovery;
