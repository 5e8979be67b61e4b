/**
 * What a node keeps for another for a while.
 *
 * <p>Owns: names of registers that an absent voter missed ({@link spokestall.handoff.HintStore}) and answers of run-once requests
 * ({@link spokestall.handoff.ResponseCache}).
 *
 * <p>Invariants: both are bounded and kept in memory only; losing them costs time, never correctness, since a voter catches
 * up from a majority and a register holds the answer's digest.
 *
 * <p>Callers: {@code Node} and {@code edge}.
 */
package spokestall.handoff;
