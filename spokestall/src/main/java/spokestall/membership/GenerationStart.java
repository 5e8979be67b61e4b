package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import spokestall.consensus.Voter;

/**
 * Begins a generation that was chosen, and retains its initial state until every voter has it, for those that missed it.
 *
 * <p>The initial state is retained in memory only. The acceptor stores the voter set and the registers before this core votes in
 * the generation. Not thread-safe; all calls on the node's event loop.
 */
final class GenerationStart {
    /** What an initial state meant to this core. */
    enum Result {
        /** It is of an older generation. */
        OUTDATED,
        /** This core knows the generation already; as a voter that has missed the initial state it catches up from it. */
        KNOWN_GENERATION,
        /** This core is not a voter of the new generation and only has to adopt its voter set. */
        NOT_A_VOTER,
        /** This core begins the new generation as a voter. */
        STARTED
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final MembershipContext context;
    /** Null once every voter has it. */
    private InitialState retained;

    GenerationStart(final MembershipContext context) {
        this.context = context;
    }

    /** Begins the generation, unless this core knows it or a newer one already. */
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

    /** Returns the initial state of the present generation if the sender is one of its first voters and has never voted in it. */
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
