/**
 * Leases of singleton roles: at most one core holds a role's lease and does the role's work.
 *
 * <p>Owns the lease's state machine on each core ({@link spokestall.lease.LeaseManager}), the session in which the holder may act
 * ({@link spokestall.lease.LeaseSession}) and the stored record ({@link spokestall.lease.Lease}). docs/lease.md has the design.
 *
 * <p>Invariants: at most one session is valid at any time; a rival acquires an unreleased lease only after it has observed the
 * lease unchanged for the full span plus a safety margin on its own monotonic clock; an uncertain session never becomes valid
 * again; fencing tokens increase with each acquisition.
 *
 * <p>Callers: {@code node.UsageComponent} creates the manager and calls its tick on the node's event loop; a
 * {@link spokestall.lease.LeasedTask} does the work under the lease.
 */
package spokestall.lease;
