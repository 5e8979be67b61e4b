/**
 * Data that a node temporarily stores for other nodes (hinted handoff).
 *
 * <p>Owns: keys of registers whose changes an unavailable voter missed ({@link spokestall.handoff.HintStore}), responses to
 * idempotent requests ({@link spokestall.handoff.ResponseCache}), and the messages that carry both
 * ({@link spokestall.handoff.HandoffMessage}).
 *
 * <p>Invariants: both stores are bounded and in memory only. Their loss costs time, never correctness: a voter also catches up
 * from a majority, and a register has the digest of the response, so that a node never mistakes another response for it.
 *
 * <p>Callers: {@code node.HandoffComponent}, and {@code proxy} for responses; all on the node's event loop.
 */
package spokestall.handoff;
