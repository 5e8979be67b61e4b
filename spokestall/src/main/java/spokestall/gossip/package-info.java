/**
 * Gossip about which nodes there are.
 *
 * <p>Owns: a bounded, partial list of the other nodes ({@link spokestall.gossip.PartialView}), exchanged with one peer on each
 * tick ({@link spokestall.gossip.GossipMessage}), and what is known of one node ({@link spokestall.gossip.NodeInfo}).
 *
 * <p>Invariants: the list is a hint, and no vote depends on its being complete. It never exceeds its bound. A member that was not
 * heard from within the time-out is dropped, and seeds are contacted at intervals, so that parts of a split fleet find each
 * other. Readings of the fleet's clock travel with the samples.
 *
 * <p>Callers: {@code node.Node} ticks the view and passes messages on; other packages read members. All of it runs on the node's
 * event loop.
 */
package spokestall.gossip;
