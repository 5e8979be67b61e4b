/**
 * The lease on a singleton role.
 *
 * <p>Owns the lease's state machine at one core ({@link spokestall.lease.LeaseManager}), the session in which the holder may act
 * ({@link spokestall.lease.LeaseSession}) and the stored record ({@link spokestall.lease.Lease}). docs/lease.md has the design.
 *
 * <p>Invariants: at most one session is valid at any time; a rival acquires a lease only after it saw it unchanged for the whole
 * span and a margin on its own monotonic clock; an uncertain session never becomes valid again; fencing tokens rise with each
 * acquisition.
 *
 * <p>Callers: {@code node.UsageComponent} creates the manager and ticks it on the node's event loop; the work under the lease is a
 * {@link spokestall.lease.LeasedTask}.
 */
package spokestall.lease;
