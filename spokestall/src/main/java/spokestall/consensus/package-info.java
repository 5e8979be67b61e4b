/**
 * Consensus: registers that a majority of voters agrees on.
 *
 * <p><b>Owns</b> the registers, each a single value under a key, and the protocol that changes them:
 * {@link spokestall.consensus.Proposer} (any node; there is no leader) and {@link spokestall.consensus.Acceptor} (each core), their
 * messages ({@link spokestall.consensus.ConsensusMessage}), what an acceptor stores, and the voter set as a value
 * ({@link spokestall.consensus.VoterSet}). How voter sets come about is owned by {@code spokestall.membership}.
 *
 * <p><b>Protocol.</b> Single-decree Paxos for each register, with proposal numbers (ballots) of its own. A change is a
 * compare-and-set: PREPARE gets a promise and the accepted values from a majority, the caller's
 * {@link spokestall.consensus.RegisterEditor} sees the value that may be chosen and sets the next one, ACCEPT has it accepted by a
 * majority. An acceptor that accepts also promises the same proposer's next number, so a proposer that changes a register
 * repeatedly needs one phase only. A read is a PREPARE without a promise (a peek); it is complete in one phase if the majority
 * agrees.
 *
 * <p><b>Epochs and generations.</b> Each message carries the generation and epoch of its sender's voter set, and an acceptor takes
 * part in one epoch at a time. The next epoch's voter set is a register's value, decided by a majority of the epoch before it; it
 * differs by one voter slot, and a voter that got its slot, or another disk for it, catches up before it votes. A new generation
 * follows the loss of a majority: the survivors resign from the old generation first, so that it decides nothing more.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>An acceptor replies only after what the reply says is synced to disk.
 *   <li>A register's promised and accepted numbers never fall on a disk identity. A disk that lost state gets another identity, and
 *       replies count only under the identity in the voter slot.
 *   <li>An acceptor votes in one epoch at a time and never in an older one again, nor in any epoch of a generation from which it
 *       resigned.
 *   <li>Any two majorities of an epoch share a voter. A value chosen in one epoch is with a majority of the next as soon as that can decide anything.
 *   <li>A pruned register is never created anew; pruned versions are below a floor that is synced before they are removed.
 * </ul>
 *
 * docs/design.md has the argument that no two values are ever chosen for one version.
 *
 * <p><b>Callers.</b> {@code configuration}, {@code lease}, {@code usage}, {@code proxy} and {@code membership} propose and read
 * through the proposer; {@code node} hands messages and ticks to both parts on its event loop; {@code membership} gives the acceptor
 * its voter sets. Nothing here knows what a register's value means, but through {@link spokestall.consensus.RegisterGuard}.
 */
package spokestall.consensus;
