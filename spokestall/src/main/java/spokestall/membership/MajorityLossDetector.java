package spokestall.membership;

import java.util.Map;
import spokestall.consensus.VoterSet;

/**
 * Decides from the current statuses whether the fleet needs a new generation. Stateless; all calls on the node's event loop.
 */
final class MajorityLossDetector {
    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final RecoveryElectorate electorate;

    MajorityLossDetector(
            final MembershipContext context,
            final MembershipEnvironment environment,
            final RecoveryElectorate electorate) {
        this.context = context;
        this.environment = environment;
        this.electorate = electorate;
    }

    /**
     * Whether no majority with state can come together although a majority of the electorate is there. Always false while this
     * core could not vote on a new generation itself, or while a newer voter set is reported.
     */
    boolean isMajorityLost(final Map<String, MembershipMessage.VoterStatus> statuses) {
        final VoterSet voterSet = context.voterSet();
        if (!context.acceptor().canWrite()
                || !environment.isFleetClockSettled()
                || !electorate.containsLocal()
                || statuses.values().stream().anyMatch(status -> status.hasNewerVoterSetThan(voterSet))) {
            return false;
        }
        int writable = 0;
        int withState = 0;
        int catchingUp = 0;
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            if (electorate.contains(status.name())) {
                final boolean sameGeneration = status.generation() > 0 && status.generation() == context.generation();
                writable += status.canWrite() ? 1 : 0;
                withState += status.hasState() && sameGeneration ? 1 : 0;
                catchingUp += status.catchingUp() && !status.hasState() && sameGeneration ? 1 : 0;
            }
        }
        if (voterSet == null) {
            return writable == context.settings().configuredCores();
        }
        // A voter that still catches up will have its state, as long as enough others are there to read from.
        final int expectedWithState = withState >= voterSet.intersectingQuorum() ? withState + catchingUp : withState;
        return writable >= electorate.majority()
                && writable - expectedWithState > electorate.size() - electorate.majority();
    }
}
