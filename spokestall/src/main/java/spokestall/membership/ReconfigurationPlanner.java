package spokestall.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/**
 * Plans the voter set of the next epoch, which changes one voter; {@link Reconfiguration} proposes it.
 *
 * <p>A voter counts as silent or removable only if a majority of the voters report it as such under the same voter set. The status
 * maps are keyed by core name and contain the current statuses of the peers and this core's own. Immutable; all calls on the
 * node's event loop.
 */
final class ReconfigurationPlanner {
    /** Whether a joining core still waits for voters without a current status. */
    enum JoinWait {
        /** The core waits, since one of these voters may be reported silent, and the core can then take its slot. */
        WAIT_FOR_UNREPORTED_VOTERS,
        /** The core has waited long enough for the other voters to have reported these voters as silent. */
        WAIT_EXPIRED
    }

    private final String localName;
    private final ToleratedLoss toleratedLoss;

    ReconfigurationPlanner(final String localName, final ToleratedLoss toleratedLoss) {
        this.localName = localName;
        this.toleratedLoss = toleratedLoss;
    }

    /**
     * Returns the next voter set with this core as a voter, or empty while the core should wait. The core takes the slot with its
     * own name, else the slot with its own address, else the slot of a silent voter, else a new slot.
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
     * Whether the voter set survives the tolerated loss with this voter added, or with this voter and all other waiting cores
     * added, or does not survive it even now. For example, if three regions have one voter each and a region may be lost, a second
     * voter in one region would make the loss of that region the loss of the majority.
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
     * Returns the voter set without its first removable voter, or empty if this core should not propose a removal. A voter set of
     * odd size keeps a silent voter: the even-sized set without that voter would need just as many votes for a majority.
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

    /** Whether this core is the first voting core by name. Only that core proposes a removal, to avoid concurrent proposals. */
    private boolean isFirstVotingCore(
            final VoterSet voterSet, final Map<String, MembershipMessage.VoterStatus> statuses) {
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            if (isVotingIn(voterSet, status)) {
                return status.name().equals(localName);
            }
        }
        return false;
    }

    /** Whether a core is waiting to join. It can take the slot of the removable voter, so no removal is proposed. */
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
