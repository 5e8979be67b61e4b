/**
 * Data that a node keeps for others for a while (hinted handoff).
 *
 * <p>Owns: keys of registers that an unavailable voter missed ({@link spokestall.handoff.HintStore}), responses of idempotent
 * requests ({@link spokestall.handoff.ResponseCache}), and the messages that carry both
 * ({@link spokestall.handoff.HandoffMessage}).
 *
 * <p>Invariants: both are bounded and in memory only. Losing them costs time, never correctness: a voter catches up from a
 * majority, and a register holds the response's digest, so that no other response is taken for it.
 *
 * <p>Callers: {@code node.HandoffComponent}, and {@code proxy} for responses; all on the node's event loop.
 */
package spokestall.handoff;
