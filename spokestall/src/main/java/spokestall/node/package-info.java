/**
 * One node of the fleet: its components and their wiring.
 *
 * <p>Owns: the wiring of a node ({@link spokestall.node.NodeComponents}) out of the state machines of the other
 * packages, its lifecycle ({@link spokestall.node.Node}), its periodic tasks ({@link spokestall.node.NodeSchedule}),
 * the dispatch of messages ({@link spokestall.node.MessageDispatcher}), the calls of operators and clients ({@code
 * ...Calls}), a core's disk ({@link spokestall.node.CoreStorage}), and the derivation of all periods and bounds from
 * the settings ({@link spokestall.node.Timings}).
 *
 * <p>Invariants: all state of a node is accessed on its event loop only. A node reads no clock, opens no socket or
 * file, and starts no thread; these services are passed in as a {@link spokestall.node.NodeEnvironment}, so that a
 * process and the simulator run the same node. Every message type has its own number, which is never reused for another
 * type. Components are created, and periodic tasks started, in a fixed order, so that a simulation is repeatable.
 *
 * <p>Callers: {@code io.process} and the platform module run a node as a process; the testbed runs nodes in the
 * simulator. No package below this one depends on it.
 */
package spokestall.node;
