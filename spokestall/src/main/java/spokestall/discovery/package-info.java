/**
 * Service discovery and health checks of upstreams.
 *
 * <p>Owns: the registry of endpoints and health observations ({@link spokestall.discovery.EndpointRegistry}), the reader of the
 * platform's endpoint list ({@link spokestall.discovery.EndpointListReader}), the active health checker
 * ({@link spokestall.discovery.HealthChecker}), and the client interface for both
 * ({@link spokestall.discovery.DiscoveryClient}).
 *
 * <p>Invariants: the entry with the newest timestamp wins, so messages may be repeated and reordered. An instance that any core
 * observed as leaving gets no requests, even if other cores observed it as ready. One core reads the list for the whole fleet as
 * long as it keeps reading. A core neither reads the list nor probes before the fleet's clock has settled.
 *
 * <p>Callers: {@code node.DiscoveryComponent} ticks the reader and the checker and merges what other cores send;
 * {@code configuration.feed.FeedClient} merges the updates that it fetches; {@code proxy.LoadBalancer} picks from the ready
 * upstreams. All calls on the node's event loop.
 */
package spokestall.discovery;
