/**
 * The lease on the usage report, and the report.
 *
 * <p>Owns: the lease's life cycle at one core ({@link spokestall.lease.LeaseManager}), the counts of requests that upstreams
 * began ({@link spokestall.usage.UsageCounter} at an edge, {@link spokestall.usage.UsageTable} at a core), and the report of
 * each closed window ({@link spokestall.usage.UsageReporter}).
 *
 * <p>Invariants: a rival takes a lease only after it saw it unchanged for the whole span and a margin on its own monotonic
 * clock; the holder acts only within its own, shorter view of it. A window's counts are sealed in a write-once register before
 * they are sent, so whoever sends a window sends the same counts. Counts merge by the larger one, so order and repeats of
 * messages don't matter.
 *
 * <p>Callers: {@code Node} ticks them and hands them messages; an edge counts through {@code UsageCounter}.
 */
package spokestall.lease;
