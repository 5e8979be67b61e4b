/**
 * Large fleets in one process: hundreds of nodes in virtual time, and lines through what several sizes cost.
 *
 * <p>Invariants: each node has a lane, lanes run in parallel within one step of virtual time, and what they send arrives in a later
 * step; so a run is a function of its flags.
 */
package spokestall.testbed.scale;
