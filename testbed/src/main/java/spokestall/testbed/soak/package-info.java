/**
 * Soak runs: clients of a fleet of real processes keep using open connections until the process ends, while overlapping series of signals,
 * restarts and configuration changes run.
 *
 * <p>Owns: the series of actions ({@link spokestall.testbed.soak.SoakSeries}), the clients ({@link
 * spokestall.testbed.soak.SoakClient}), the record of stopped and killed processes ({@link spokestall.testbed.soak.ProcessHistory}), and the
 * verdict ({@link spokestall.testbed.soak.SoakVerdict}).
 *
 * <p>Invariants: the seed determines the series, their targets and their order in each lane, but not how the lanes interleave. The verdict
 * uses the observations of clients and stand-ins, exit codes and logged faults, never a node's state.
 *
 * <p>Callers: {@code bin/testbed soak} and {@code SoakTest}.
 */
package spokestall.testbed.soak;
