/**
 * The testbed: a simulator in virtual time, real processes under failures, and the judge of both.
 *
 * <p>Owns: the command line ({@link spokestall.testbed.Main}) and the two deployments that runs are made of ({@link
 * spokestall.testbed.Deployment}); its packages have the simulator, fleets of processes, faults, scale runs, stand-ins and judges.
 *
 * <p>Invariants: the simulator runs the product's own classes, with no model beside them. A run is a function of its scenario,
 * deployment and seed. The judge reads the stand-ins' ledgers, never the product's state. Each rule is seen to break under a
 * injected fault (InjectedFaultTest).
 *
 * <p>Callers: {@code bin/testbed} and the tests.
 */
package spokestall.testbed;
