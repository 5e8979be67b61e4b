/**
 * Membership: which cores are voters, with which disks, and how that changes.
 *
 * <p>Owns: the exchange of voter status ({@link spokestall.membership.VoterStatusExchange}), the vote on a fleet's first
 * generation ({@link spokestall.membership.BootstrapProposer}, {@link spokestall.membership.BootstrapAcceptor}), changes of one
 * voter at a time ({@link spokestall.membership.Reconfiguration}), the vote on a new generation after the loss of a majority
 * ({@link spokestall.membership.GenerationRecovery}, {@link spokestall.membership.GenerationAcceptor}), and the handover of a
 * voter that shuts down ({@link spokestall.membership.GracefulHandover}).
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>An epoch has one voter set, and two successive epochs of a generation differ by one voter.
 *   <li>A generation is followed by at most one other: its voters resign from it before they vote on the next, and the vote is
 *       durable before it is sent.
 *   <li>A fleet has at most one first generation, as long as only first incarnations of seeds vote on it.
 *   <li>A disk identity that has voted and is no voter any more never becomes a voter again.
 *   <li>A voter whose disk was restored to an older state gives no vote with it.
 * </ul>
 *
 * <p>Callers: only {@code spokestall.node} creates these state machines and passes them messages and ticks, on the node's event
 * loop. The package uses {@code spokestall.consensus} for what is stored and agreed, and does not know what registers mean.
 */
package spokestall.membership;
