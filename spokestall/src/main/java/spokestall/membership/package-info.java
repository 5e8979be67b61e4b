/**
 * Membership: which cores are voters, with which disks, and how the voter set changes.
 *
 * <p>This package contains the exchange of voter statuses ({@link spokestall.membership.VoterStatusExchange}), the vote on a
 * fleet's first generation ({@link spokestall.membership.BootstrapProposer}, {@link spokestall.membership.BootstrapAcceptor}),
 * changes of one voter at a time ({@link spokestall.membership.Reconfiguration}), the vote on a new generation after the loss of
 * a majority ({@link spokestall.membership.GenerationRecovery}, {@link spokestall.membership.GenerationAcceptor}), and the
 * handover by a voter that shuts down ({@link spokestall.membership.GracefulHandover}).
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Each epoch has exactly one voter set, and the voter sets of two successive epochs of a generation differ by one voter.
 *   <li>Each generation has at most one successor: its voters resign from it before they vote on the next one, and each vote is
 *       durable before the reply is sent.
 *   <li>A fleet has at most one first generation, as long as only first incarnations of seeds vote on it.
 *   <li>A disk identity that has voted and has lost its voter slot never becomes a voter again.
 *   <li>A voter whose disk was restored to an older state does not vote with that state.
 * </ul>
 *
 * <p>Only {@code spokestall.node} creates these state machines and passes them messages and ticks, on the node's event loop. The
 * package uses {@code spokestall.consensus} for storage and agreement, and does not interpret the contents of registers.
 */
package spokestall.membership;
