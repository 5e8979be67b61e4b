/**
 * The testbed: a simulator in virtual time, fleets of real processes under failures, and the judge of both.
 *
 * <p>Owns: the command line ({@link spokestall.testbed.Main}) and the two deployments that runs use ({@link
 * spokestall.testbed.Deployment}). Its packages contain the simulator, fleets of processes, faults, scale runs, stand-ins and judges.
 *
 * <p>Invariants: the simulator runs the product's own classes instead of models of them. A simulation is a function of its scenario,
 * deployment and seed. The judge reads the stand-ins' ledgers, never the product's state. InjectedFaultTest shows for each rule an injected
 * fault that violates it.
 *
 * <p>Callers: {@code bin/testbed} and the tests.
 */
package spokestall.testbed;
