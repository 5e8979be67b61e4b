/**
 * Fleets of real processes on this machine, with the links between them under control.
 *
 * <p>Owns: processes and their settings, data and logs ({@link spokestall.testbed.fleet.Fleet}), the build that each runs ({@link
 * spokestall.testbed.fleet.NodeBuild}) and the relays that cut, delay or lose what nodes send.
 */
package spokestall.testbed.fleet;
