/**
 * Service discovery and health of upstreams.
 *
 * <p>Owns: what the platform's list and the cores' probes say of each upstream ({@link spokestall.discovery.EndpointRegistry}), and a
 * core's share of reading and probing ({@link spokestall.discovery.HealthChecker}).
 *
 * <p>Invariants: entries merge by the newest stamp, so order and repeats of messages don't matter. An upstream that anyone
 * saw leaving is not offered, whatever older word says that it is ready. The list is read by one core for all as long as that
 * core does it.
 *
 * <p>Callers: {@code Node} ticks the prober and merges what other cores tell; {@code edge.Elector} asks for ready upstreams
 * through {@code Node}.
 */
package spokestall.discovery;
