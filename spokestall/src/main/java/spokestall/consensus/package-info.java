/**
 * Consensus and membership.
 *
 * <p>Owns: single-value registers that are changed by compare-and-set in two rounds ({@link spokestall.consensus.Proposer},
 * {@link spokestall.consensus.Acceptor}), the table of voters and its changes ({@link spokestall.consensus.VoterSet},
 * {@link spokestall.membership.MembershipCoordinator}), and the first table of a fleet ({@link spokestall.membership.BootstrapProposer},
 * {@link spokestall.membership.BootstrapAcceptor}).
 *
 * <p>Invariants: a voter answers only after what it answers is synced to disk. A promised or accepted rank never falls. A
 * voter votes in one epoch of one generation at a time and never in an older one again. Two majorities of an epoch share a
 * voter; a change of the table is itself decided by a majority of the table before it. docs/design.md has the argument.
 *
 * <p>Callers: {@code policy}, {@code duty}, {@code edge} and {@code feed} propose and read through the proposer; only
 * {@code Node} hands messages to a voter. Nothing here knows what the registers' values mean.
 */
package spokestall.consensus;
