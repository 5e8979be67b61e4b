/**
 * Failures that are brought about on purpose.
 *
 * <p>Owns: failures of real processes ({@link spokestall.testbed.fault.ProcessFault}), the replacement of an older build ({@link
 * spokestall.testbed.fault.RollingUpgrade}) and faults that are injected to see that a check finds them ({@link
 * spokestall.testbed.fault.InjectedFault}). Names of constants are typed on the command line and stay.
 */
package spokestall.testbed.fault;
