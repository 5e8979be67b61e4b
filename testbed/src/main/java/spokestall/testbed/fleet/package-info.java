/**
 * Fleets of real processes on one machine, with controllable links between them.
 *
 * <p>Owns: the fleet and the stand-ins around it ({@link spokestall.testbed.fleet.Fleet}), the number of nodes and the links
 * between them ({@link spokestall.testbed.fleet.FleetLayout}), each node's process with its settings, data and log ({@link
 * spokestall.testbed.fleet.FleetMember}), the build that it runs ({@link spokestall.testbed.fleet.NodeBuild}) and the relays that cut,
 * delay or drop the nodes' traffic.
 */
package spokestall.testbed.fleet;
