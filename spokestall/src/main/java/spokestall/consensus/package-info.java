/**
 * Consensus: replicated registers whose values are decided by a majority of voters.
 *
 * <p><b>Owns</b> the registers, each a single value under a key, and the protocol that changes them:
 * {@link spokestall.consensus.Proposer} (any node; there is no leader) and {@link spokestall.consensus.Acceptor} (each core), their
 * messages ({@link spokestall.consensus.ConsensusMessage}), the state that an acceptor stores, and the voter set as a value
 * ({@link spokestall.consensus.VoterSet}). {@code spokestall.membership} decides when and how the voter set changes.
 *
 * <p><b>Protocol.</b> Single-decree Paxos for each register, with separate proposal numbers (ballots) per register. A change is a
 * compare-and-set: PREPARE gets promises and accepted values from a majority; the caller's
 * {@link spokestall.consensus.RegisterEditor} receives the value that may be chosen and sets the next one; ACCEPT asks the voters
 * to accept that value and succeeds with a majority. An acceptor that accepts a value also promises the same proposer's next
 * number, so a proposer that changes a register repeatedly needs only one phase. A read is a PREPARE without a promise (a peek);
 * it completes in one phase if the majority has accepted the same value.
 *
 * <p><b>Epochs and generations.</b> Each message carries the generation and epoch of its sender's voter set, and an acceptor votes
 * in one epoch at a time. The next epoch's voter set is the value of a register, decided by a majority of the current epoch. It
 * differs by one voter slot; a voter with a new slot, or a new disk for its slot, catches up before it votes. After the loss of a
 * majority, the survivors start a new generation; they resign from the old generation first, so that it decides nothing more.
 *
 * <p><b>Invariants.</b>
 *
 * <ul>
 *   <li>An acceptor replies only after it has synced the state that the reply reports.
 *   <li>Under one disk identity, a register's promised and accepted numbers never decrease. A disk that lost state gets another
 *       identity, and proposers count only replies that carry the identity in the voter slot.
 *   <li>An acceptor votes in one epoch at a time. It never votes again in an older epoch, nor in any epoch of a generation from
 *       which it resigned.
 *   <li>Any two majorities of an epoch share a voter. Before an epoch can decide anything, a majority of its voters has every value
 *       chosen in the previous epoch.
 *   <li>A pruned register is never created again; the version floor that covers a pruned version is synced before the register is
 *       removed.
 * </ul>
 *
 * docs/design.md has the argument that no two values are ever chosen for one version.
 *
 * <p><b>Callers.</b> {@code configuration}, {@code lease}, {@code usage}, {@code proxy} and {@code membership} propose and read
 * through the proposer; {@code node} passes messages and ticks to the proposer and the acceptor on its event loop;
 * {@code membership} gives the acceptor its voter sets. This package knows the meaning of register values only through
 * {@link spokestall.consensus.RegisterGuard}.
 */
package spokestall.consensus;
