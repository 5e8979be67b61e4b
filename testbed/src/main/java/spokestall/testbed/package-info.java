/**
 * The testbed: a simulator in virtual time, real processes under failures, and the judge of both.
 *
 * <p>Owns: the simulated world ({@code World}, {@code SimNet}, {@code SimDisk}) and its scenarios, the stand-in platform and
 * upstreams of real fleets, planted faults, and the rules that a run is judged by.
 *
 * <p>Invariants: the simulator runs the product's own classes, with no model beside them. A run is a function of its scenario,
 * deployment and seed. The judge reads the stand-ins' ledgers, never the product's state. Each rule is seen to break under a
 * planted fault (PlantTest).
 *
 * <p>Callers: {@code bin/testbed} and the tests.
 */
package spokestall.testbed;
