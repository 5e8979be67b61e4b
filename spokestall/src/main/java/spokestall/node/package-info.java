/**
 * One node of the fleet: its components, and what joins them.
 *
 * <p>Owns: the wiring of a node ({@link spokestall.node.NodeComponents}) out of the state machines of the other packages, its
 * lifecycle ({@link spokestall.node.Node}), its periodic work ({@link spokestall.node.NodeSchedule}), the dispatch of messages
 * ({@link spokestall.node.MessageDispatcher}), the calls of operators and clients ({@code ...Calls}), a core's disk
 * ({@link spokestall.node.CoreStorage}), and the derivation of all periods and bounds from the settings
 * ({@link spokestall.node.Timings}).
 *
 * <p>Invariants: all state of a node is touched on its event loop only. A node reads no clock, opens no socket and no file, and
 * starts no thread; it gets them as a {@link spokestall.node.NodeEnvironment}, so that a process and the simulator run the same
 * node. Every message type has a number of its own, which is never given to another one. Components are created, and periodic
 * tasks begun, in a fixed order, so that a simulation repeats.
 *
 * <p>Callers: {@code io.process} and the platform module run a node as a process, the testbed runs it in the simulator. No
 * package below this one refers to it.
 */
package spokestall.node;
