/**
 * The counts of requests that upstreams began, and the report of each closed window to the platform.
 *
 * <p>Owns an edge's counts ({@link spokestall.usage.UsageCounter}), a core's table of all edges' counts
 * ({@link spokestall.usage.UsageTable}), and the lease holder's report ({@link spokestall.usage.UsageReporter}).
 *
 * <p>Invariants: counts merge by the larger one, so the order and repeats of messages don't matter; a window's counts are sealed in
 * a write-once register before they are sent, so whoever sends a window sends the same counts.
 *
 * <p>Callers: {@code node.UsageComponent} and {@code node.ProxyComponent} tick them and pass them messages on the node's event
 * loop; {@code spokestall.proxy} counts through {@link spokestall.usage.UsageCounter}.
 */
package spokestall.usage;
