package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import spokestall.consensus.Voter;

/**
 * Starts a chosen generation on this core, and retains its initial state until every voter has it, so that this core can send it
 * to voters that missed it.
 *
 * <p>The initial state is retained in memory only. The acceptor stores the voter set and the registers before this core votes in
 * the generation. Not thread-safe; all calls on the node's event loop.
 */
final class GenerationStart {
    /** How this core handled an initial state. */
    enum Result {
        /** The initial state is of an older generation and was ignored. */
        OUTDATED,
        /** This core already knows the generation. If it is a voter that missed the initial state, it catches up from it. */
        KNOWN_GENERATION,
        /** This core is not a voter of the new generation; the caller must adopt the voter set. */
        NOT_A_VOTER,
        /** This core started the new generation as a voter. */
        STARTED
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final MembershipContext context;
    /** Initial state of the last generation started, or null once every voter has it. */
    private InitialState retained;

    GenerationStart(final MembershipContext context) {
        this.context = context;
    }

    /** Starts the generation, unless this core already knows it or a newer one. */
    Result onGenerationStarted(final InitialState initialState) {
        if (context.voterSet() != null && initialState.voterSet().generation() == context.generation()) {
            context.acceptor().startGenerationLate(initialState.voterSet(), initialState.entries());
            retained = initialState;
            return Result.KNOWN_GENERATION;
        }
        if (!initialState.voterSet().newerThan(context.voterSet())) {
            return Result.OUTDATED;
        }
        retained = initialState;
        final Voter voter = initialState.voterSet().voter(context.local().name());
        if (voter == null || !voter.diskId().equals(context.acceptor().diskId())) {
            return Result.NOT_A_VOTER;
        }
        LOG.atInfo().log(
                "event=generation_started node=%s generation=%s registers=%s",
                context.local().name(),
                initialState.voterSet().generation(),
                initialState.entries().size());
        context.acceptor().startGeneration(initialState.voterSet(), initialState.entries());
        context.proposer().updateVoterSet(initialState.voterSet());
        return Result.STARTED;
    }

    /** Releases the initial state once every voter of its voter set has reported that it has state. */
    void onTick(final Map<String, MembershipMessage.VoterStatus> statuses) {
        if (retained != null
                && retained.voterSet().voters().stream()
                        .allMatch(voter -> statuses.containsKey(voter.name())
                                && statuses.get(voter.name()).hasState())) {
            retained = null;
        }
    }

    /**
     * Returns the initial state of the current generation if the sender of the status is a voter of its first epoch, with the same
     * disk, and has no state yet; empty otherwise.
     */
    Optional<InitialState> initialStateMissedBy(final MembershipMessage.VoterStatus status) {
        if (retained == null || retained.voterSet().generation() != context.generation()) {
            return Optional.empty();
        }
        final Voter voter = retained.voterSet().voter(status.name());
        final boolean missed = voter != null
                && voter.diskId().equals(status.diskId())
                && !status.hasState()
                && (status.generation() == 0 || status.generation() <= context.generation());
        return missed ? Optional.of(retained) : Optional.empty();
    }
}
