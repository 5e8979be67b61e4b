/**
 * Fleets of real processes on this machine, with the links between them under control.
 *
 * <p>Owns: the fleet and the stand-ins around it ({@link spokestall.testbed.fleet.Fleet}), how many nodes there are and how they reach
 * each other ({@link spokestall.testbed.fleet.FleetLayout}), each node's process with its settings, data and log ({@link
 * spokestall.testbed.fleet.FleetMember}), the build that it runs ({@link spokestall.testbed.fleet.NodeBuild}) and the relays that cut,
 * delay or lose what nodes send.
 */
package spokestall.testbed.fleet;
