/**
 * Gossip-based membership.
 *
 * <p>Owns: the bounded partial view of the other nodes ({@link spokestall.gossip.PartialView}), the messages that exchange
 * samples of it with one peer at a time ({@link spokestall.gossip.GossipMessage}), and the membership entry of a node
 * ({@link spokestall.gossip.NodeInfo}).
 *
 * <p>Invariants: the view is a hint; no vote depends on its being complete. It never exceeds its bound. A member that nobody has
 * seen within the time-out is removed. The node contacts seeds periodically, so that the parts of a partitioned fleet find each
 * other again. Shuffle messages also carry readings of the fleet's clock.
 *
 * <p>Callers: {@code node.Node} ticks the view and passes messages on; other packages read members. All calls on the node's event
 * loop.
 */
package spokestall.gossip;
