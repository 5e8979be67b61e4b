/**
 * Which nodes there are (gossip).
 *
 * <p>Owns: a bounded, partial list of the other nodes ({@link spokestall.gossip.PartialView}), shuffled with a neighbour on each
 * heartbeat.
 *
 * <p>Invariants: what it says is a hint and no vote depends on it being whole. A member that was not heard for a while is dropped,
 * and seeds are asked again now and then, so that parts of a split fleet find each other.
 *
 * <p>Callers: {@code Node} ticks it and hands it messages; other packages get lists of members.
 */
package spokestall.gossip;
