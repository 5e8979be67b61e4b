/**
 * The node and the commands.
 *
 * <p>Owns: the wiring of one node ({@link spokestall.node.Node}) out of the state machines of the other packages, the answers to
 * operators' calls, to followers of the feed and to {@code where}, and the command line ({@link spokestall.cli.Main}).
 *
 * <p>Invariants: everything of a node runs on one thread at a time (its stage). A node reads no clock, opens no socket and
 * touches no file itself: they come in through {@code Node.Rim}, so a process and the simulator run the same node. Every
 * message type has a number of its own, which is never given to another.
 *
 * <p>Callers: {@code rim} and the platform module run a node as a process, {@code proof} runs it in the simulator. Nothing
 * below this package refers to it.
 */
package spokestall.node;
