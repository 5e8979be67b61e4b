/**
 * Failures that the testbed causes on purpose.
 *
 * <p>Owns: failures of real processes ({@link spokestall.testbed.fault.ProcessFault}), the replacement of an older build ({@link
 * spokestall.testbed.fault.RollingUpgrade}) and faults that a simulation injects to verify that the judge detects them
 * ({@link spokestall.testbed.fault.InjectedFault}). Users type the constants' names on the command line, so the names must not change.
 */
package spokestall.testbed.fault;
