package spokestall.membership;

import java.util.Map;
import spokestall.consensus.VoterSet;

/**
 * Decides from the current statuses whether the fleet needs a new generation. Has no state of its own; all calls on the node's
 * event loop.
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
     * Whether a majority of the electorate is reachable and writable, but so many of these cores lack state that no majority with
     * state is possible. Before the first generation, whether all configured cores are reachable and writable. Always false while
     * the fleet clock has not settled, while this core cannot vote on a new generation itself, or while any core reports a newer
     * voter set.
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
        // A voter that is catching up will have state, provided that enough reachable voters have state for it to read.
        final int expectedWithState = withState >= voterSet.intersectingQuorum() ? withState + catchingUp : withState;
        return writable >= electorate.majority()
                && writable - expectedWithState > electorate.size() - electorate.majority();
    }
}
