/**
 * Counts the requests that upstreams began, and reports the counts of each closed window to the platform.
 *
 * <p>Owns: an edge's counts ({@link spokestall.usage.UsageCounter}), a core's table of all edges' counts
 * ({@link spokestall.usage.UsageTable}), and the lease holder's reports ({@link spokestall.usage.UsageReporter}).
 *
 * <p>Invariants: a merge of counts takes the larger one, so reordered and repeated messages have no effect. A window's counts are
 * sealed in a write-once register before they are sent, so all nodes that send a window send the same counts.
 *
 * <p>Callers: {@code node.UsageComponent} and {@code node.ProxyComponent} tick these classes and pass messages to them on the
 * node's event loop; {@code spokestall.proxy} counts requests through {@link spokestall.usage.UsageCounter}.
 */
package spokestall.usage;
