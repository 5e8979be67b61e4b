/**
 * Simulation of a fleet in virtual time, with the real node code.
 *
 * <p>Owns: the clock and its events ({@link spokestall.testbed.simulation.VirtualTime}), machines, disks, network, clients and
 * operators of a run ({@link spokestall.testbed.simulation.SimulatedWorld}), the scenarios and their sweep.
 *
 * <p>Invariants: a run is a function of scenario, deployment and seed; its digest, over all frames and trace lines, tells whether two
 * builds behave alike. Single-threaded.
 */
package spokestall.testbed.simulation;
