package spokestall.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/**
 * Chooses the one voter that the next epoch changes. It only plans: {@link Reconfiguration} has the voter set agreed.
 *
 * <p>A voter counts as silent or as removable only when a majority of the voters report it so under the very same voter set.
 * Statuses are passed by the name of the core, those received of late and this core's own. Stateless but for its constructor's
 * values; all calls on the node's event loop.
 */
final class ReconfigurationPlanner {
    /** How a joining core treats voters without a current status. */
    enum JoinWait {
        /** It waits for them, since one of them may turn out silent and leave its slot. */
        WAIT_FOR_UNREPORTED_VOTERS,
        /** It has waited so long that the others would have reported them silent. */
        WAIT_EXPIRED
    }

    private final String localName;
    private final ToleratedLoss toleratedLoss;

    ReconfigurationPlanner(final String localName, final ToleratedLoss toleratedLoss) {
        this.localName = localName;
        this.toleratedLoss = toleratedLoss;
    }

    /**
     * Returns the voter set with this core in it, or empty while it should wait. In this order it takes the slot of its own name,
     * that of its own address, that of a silent voter, or else a new one.
     */
    Optional<VoterSet> withLocalVoter(
            final VoterSet voterSet,
            final Voter localVoter,
            final Map<String, MembershipMessage.VoterStatus> statuses,
            final JoinWait joinWait) {
        if (voterSet.voter(localName) != null) {
            return Optional.of(voterSet.withReplacedDisk(localVoter));
        }
        for (final Voter voter : voterSet.voters()) {
            if (voter.address().equals(localVoter.address())) {
                return Optional.of(voterSet.withReplacedVoter(voter.name(), localVoter));
            }
        }
        for (int position = 0; position < voterSet.voters().size(); position++) {
            final String voter = voterSet.voters().get(position).name();
            if (!statuses.containsKey(voter)
                    && isReportedByMajority(
                            voterSet, statuses, position, MembershipMessage.VoterStatus::silentVoters)) {
                return Optional.of(voterSet.withReplacedVoter(voter, localVoter));
            }
        }
        final boolean mayAdd = joinWait == JoinWait.WAIT_EXPIRED
                || voterSet.voters().stream().allMatch(voter -> statuses.containsKey(voter.name()));
        return mayAdd && isAdditionSafe(voterSet, localVoter, statuses)
                ? Optional.of(voterSet.withAddedVoter(localVoter))
                : Optional.empty();
    }

    /**
     * Whether the voter set survives the tolerated loss with this voter, or with it and all cores that wait to join, or does not
     * survive it now anyway. Adding a third of four voters in one region, for example, would make that region's loss the loss
     * of the majority.
     */
    private boolean isAdditionSafe(
            final VoterSet voterSet,
            final Voter localVoter,
            final Map<String, MembershipMessage.VoterStatus> statuses) {
        if (voterSet.voters().size() >= VoterSet.VOTERS_MAX) {
            return false;
        }
        VoterSet withAllJoiners = voterSet.withAddedVoter(localVoter);
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            final boolean isJoiner = status.canWrite() && withAllJoiners.voter(status.name()) == null;
            if (isJoiner && withAllJoiners.voters().size() < VoterSet.VOTERS_MAX) {
                withAllJoiners =
                        withAllJoiners.withAddedVoter(new Voter(status.name(), status.address(), status.diskId()));
            }
        }
        return survivesToleratedLoss(withAllJoiners)
                || survivesToleratedLoss(voterSet.withAddedVoter(localVoter))
                || !survivesToleratedLoss(voterSet);
    }

    /**
     * Returns the voter set without its first removable voter, or empty if this core should not propose that. A set of odd size
     * keeps it: with one voter silent it needs as many votes as the set of even size below it.
     */
    Optional<VoterSet> withoutRemovableVoter(
            final VoterSet voterSet, final Map<String, MembershipMessage.VoterStatus> statuses) {
        if (voterSet.voters().size() % 2 != 0
                || !isFirstVotingCore(voterSet, statuses)
                || isJoinerWaiting(voterSet, statuses)) {
            return Optional.empty();
        }
        for (int position = 0; position < voterSet.voters().size(); position++) {
            final String voter = voterSet.voters().get(position).name();
            if (!statuses.containsKey(voter)
                    && isReportedByMajority(
                            voterSet, statuses, position, MembershipMessage.VoterStatus::removableVoters)) {
                final VoterSet next = voterSet.withRemovedVoter(voter);
                return survivesToleratedLoss(next) ? Optional.of(next) : Optional.empty();
            }
        }
        return Optional.empty();
    }

    private boolean survivesToleratedLoss(final VoterSet voterSet) {
        final List<Voter> voters = voterSet.voters();
        return voters.size() - toleratedLoss.maxVotersLost(voters) >= voterSet.majority();
    }

    /** Only the first voting core by name proposes a removal, so that they do not all propose the same at once. */
    private boolean isFirstVotingCore(
            final VoterSet voterSet, final Map<String, MembershipMessage.VoterStatus> statuses) {
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            if (isVotingIn(voterSet, status)) {
                return status.name().equals(localName);
            }
        }
        return false;
    }

    /** A core that waits to join takes the slot of the removable voter. */
    private static boolean isJoinerWaiting(
            final VoterSet voterSet, final Map<String, MembershipMessage.VoterStatus> statuses) {
        return statuses.values().stream()
                .anyMatch(status -> voterSet.voter(status.name()) == null && status.canWrite());
    }

    private static boolean isReportedByMajority(
            final VoterSet voterSet,
            final Map<String, MembershipMessage.VoterStatus> statuses,
            final int position,
            final ToLongFunction<MembershipMessage.VoterStatus> reportedVoters) {
        int reports = 0;
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            final boolean reported = (reportedVoters.applyAsLong(status) >> position & 1) == 1;
            reports += isVotingIn(voterSet, status) && reported ? 1 : 0;
        }
        return reports >= voterSet.majority();
    }

    private static boolean isVotingIn(final VoterSet voterSet, final MembershipMessage.VoterStatus status) {
        final Voter voter = voterSet.voter(status.name());
        return status.voting()
                && voter != null
                && voter.diskId().equals(status.diskId())
                && voterSet.hasEpoch(status.generation(), status.epoch());
    }
}
