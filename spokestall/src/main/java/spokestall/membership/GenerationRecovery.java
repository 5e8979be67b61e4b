package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Voter;

/**
 * Proposes a new generation after so many disks were lost that no majority of the voters has state.
 *
 * <p>First it collects what any node still has, then it runs a two-phase vote among the {@link RecoveryElectorate}, whose members
 * answer through their {@link GenerationAcceptor}s. Transitions:
 *
 * <pre>
 * IDLE -> COLLECTING       recovery was required for long enough
 * COLLECTING -> PREPARING  after the settle time
 * PREPARING -> ACCEPTING   a majority promised, and every core with state did or was waited for
 * ACCEPTING -> IDLE        a majority accepted: the generation is chosen
 * any -> IDLE              the round timed out, or a newer voter set was adopted
 * </pre>
 *
 * <p>It stores nothing: a proposer id is used by one incarnation only, and what acceptors stored is found again by the next
 * proposal. Not thread-safe; all calls on the node's event loop.
 */
final class GenerationRecovery {
    /** Phases of the proposer. */
    enum Phase {
        IDLE,
        COLLECTING,
        PREPARING,
        ACCEPTING
    }

    /** What a tick found. */
    enum TickResult {
        /** A majority with state is there or can be. */
        NOT_REQUIRED,
        /** A recovery is in progress or about to begin; the voter set must not be changed meanwhile. */
        IN_PROGRESS
    }

    /** Is notified of a generation that this core's proposal made chosen. */
    @FunctionalInterface
    interface GenerationListener {
        /** Called once, after the other voters were sent the initial state. */
        void onGenerationChosen(InitialState initialState);
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** For so many timed-out rounds a proposal waits for a reachable core that has state but does not promise. */
    private static final int TIMED_OUT_ROUNDS_WAITING_FOR_STATE_MAX = 4;

    private static final long UNSET = -1;

    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final RecoveryElectorate electorate;
    private final MajorityLossDetector detector;
    private final GenerationAcceptor localAcceptor;
    private final InitialStateMerger merger;
    private final GenerationListener listener;
    private final Map<String, SurvivingState> survivors = new TreeMap<>();
    private final Map<String, MembershipMessage.GenerationPromise> promises = new TreeMap<>();
    private final Set<String> acceptedBy = new HashSet<>();
    private Phase phase = Phase.IDLE;
    private long phaseStartedMillis;
    private long requiredSinceMillis = UNSET;
    private int timedOutRounds;
    private long baseGeneration;
    private ProposalNumber proposalNumber = ProposalNumber.NONE;
    private long highestSeenCount;
    private InitialState proposed;

    GenerationRecovery(
            final MembershipContext context,
            final MembershipEnvironment environment,
            final RecoveryElectorate electorate,
            final GenerationAcceptor localAcceptor,
            final InitialStateMerger merger,
            final GenerationListener listener) {
        this.context = context;
        this.environment = environment;
        this.electorate = electorate;
        this.detector = new MajorityLossDetector(context, environment, electorate);
        this.localAcceptor = localAcceptor;
        this.merger = merger;
        this.listener = listener;
    }

    Phase phase() {
        return phase;
    }

    private void transitionTo(final Phase next, final String reason) {
        assert next == Phase.IDLE || next.ordinal() == phase.ordinal() + 1 : phase + " -> " + next;
        if (phase != next) {
            LOG.atInfo().log(
                    "event=generation_recovery node=%s from=%s to=%s reason=%s baseGeneration=%s proposal=%s",
                    context.local().name(), phase, next, reason, baseGeneration, proposalNumber);
        }
        phase = next;
        phaseStartedMillis = context.nowMillis();
    }

    /** Abandons a proposal that a newer voter set has overtaken. */
    void onNewVoterSet() {
        transitionTo(Phase.IDLE, "new_voter_set");
    }

    /** Ends the recovery after this core began the new generation. */
    void onGenerationStarted() {
        requiredSinceMillis = UNSET;
        timedOutRounds = 0;
        transitionTo(Phase.IDLE, "generation_started");
    }

    /** Begins or advances a recovery, given the current statuses by name. */
    TickResult onTick(final Map<String, MembershipMessage.VoterStatus> statuses) {
        if (phase != Phase.IDLE) {
            advance(statuses);
            return TickResult.IN_PROGRESS;
        }
        if (detector.isMajorityLost(statuses)) {
            beginIfSettled(statuses);
            return TickResult.IN_PROGRESS;
        }
        requiredSinceMillis = UNSET;
        return TickResult.NOT_REQUIRED;
    }

    /** Waits longer while voters are unheard, and one round longer for each core whose name is lower. */
    private void beginIfSettled(final Map<String, MembershipMessage.VoterStatus> statuses) {
        final long nowMillis = context.nowMillis();
        if (requiredSinceMillis == UNSET) {
            requiredSinceMillis = nowMillis;
        }
        final MembershipTimeouts timeouts = context.timeouts();
        final int rank =
                new ArrayList<>(statuses.keySet()).indexOf(context.local().name());
        final long waitMillis =
                statuses.size() >= electorate.size() ? timeouts.settleMillis() : timeouts.waitForAllMillis();
        if (nowMillis - requiredSinceMillis >= waitMillis + rank * timeouts.roundMillis()) {
            collect();
        }
    }

    private void collect() {
        baseGeneration = context.generation();
        survivors.clear();
        for (final String node : environment.otherNodeAddresses()) {
            context.send(
                    node,
                    new MembershipMessage.SurvivingStateRequest(context.local().address()));
        }
        transitionTo(Phase.COLLECTING, "no_majority_with_state");
    }

    private void advance(final Map<String, MembershipMessage.VoterStatus> statuses) {
        final MembershipTimeouts timeouts = context.timeouts();
        final long elapsedMillis = context.nowMillis() - phaseStartedMillis;
        if (phase == Phase.COLLECTING && elapsedMillis >= timeouts.settleMillis()) {
            prepare(statuses);
        } else if (phase == Phase.PREPARING
                && promises.size() >= electorate.majority()
                && !isWaitingForPromiseWithState(statuses)
                && (promises.size() >= statuses.size() || elapsedMillis >= timeouts.settleMillis())) {
            accept();
        } else if (phase != Phase.COLLECTING && elapsedMillis >= 2 * timeouts.roundMillis()) {
            requiredSinceMillis = UNSET;
            timedOutRounds++;
            transitionTo(Phase.IDLE, "round_timed_out");
        }
    }

    /**
     * Whether a core that reported state and is still reachable has not promised yet: it is slow, and until it promises it may vote in
     * the old generation for a value that no other core has.
     */
    private boolean isWaitingForPromiseWithState(final Map<String, MembershipMessage.VoterStatus> statuses) {
        return timedOutRounds < TIMED_OUT_ROUNDS_WAITING_FOR_STATE_MAX
                && survivors.values().stream()
                        .anyMatch(survivor -> survivor.hasState()
                                && survivor.generation() == baseGeneration
                                && electorate.contains(survivor.name())
                                && statuses.containsKey(survivor.name())
                                && !promises.containsKey(survivor.name()));
    }

    private void prepare(final Map<String, MembershipMessage.VoterStatus> statuses) {
        highestSeenCount = Math.max(highestSeenCount, localAcceptor.promisedCount()) + 1;
        proposalNumber = new ProposalNumber(highestSeenCount, context.local().proposerId());
        promises.clear();
        acceptedBy.clear();
        transitionTo(Phase.PREPARING, "collected");
        final long epoch = context.voterSet() == null ? 0 : context.voterSet().epoch();
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            if (electorate.contains(status.name())) {
                context.send(
                        status.address(),
                        new MembershipMessage.GenerationPrepare(
                                context.local().address(), baseGeneration, proposalNumber, epoch));
            }
        }
    }

    /** Records what a node still has, while it is being collected. */
    void onSurvivingState(final SurvivingState survivor) {
        if (phase == Phase.COLLECTING) {
            survivors.put(survivor.name(), survivor);
        }
    }

    /** Records a promise, or the number that outranks this proposal. */
    void onPromise(final MembershipMessage.GenerationPromise promise) {
        if (phase != Phase.PREPARING
                || !isForThisProposal(promise.baseGeneration(), promise.proposalNumber(), promise.name())) {
            return;
        }
        if (promise.granted()) {
            promises.put(promise.name(), promise);
        } else {
            highestSeenCount = Math.max(highestSeenCount, promise.promised().count());
        }
    }

    private boolean isForThisProposal(final long generation, final ProposalNumber number, final String voter) {
        return generation == baseGeneration && number.equals(proposalNumber) && electorate.contains(voter);
    }

    private void accept() {
        final List<Voter> voters = nextVoters();
        proposed = stateToPropose(voters);
        transitionTo(Phase.ACCEPTING, "promised_by-" + promises.size());
        for (final Voter voter : voters) {
            context.send(
                    voter.address(),
                    new MembershipMessage.GenerationAccept(
                            context.local().address(), baseGeneration, proposalNumber, proposed));
        }
    }

    /** The cores that promised, with their present disks, and the other voters of the old set, each without a disk. */
    private List<Voter> nextVoters() {
        final List<Voter> voters = new ArrayList<>();
        for (final MembershipMessage.GenerationPromise promise : promises.values()) {
            voters.add(new Voter(promise.name(), promise.address(), promise.diskId()));
        }
        if (context.voterSet() != null) {
            for (final Voter old : context.voterSet().voters()) {
                if (!promises.containsKey(old.name())) {
                    voters.add(new Voter(old.name(), old.address(), ""));
                }
            }
        }
        return voters;
    }

    /** What was accepted under the highest number, which may be chosen already; else all that survived, merged. */
    private InitialState stateToPropose(final List<Voter> voters) {
        MembershipMessage.GenerationPromise highest = null;
        final List<SurvivingState> allSurvivors = new ArrayList<>(survivors.values());
        for (final MembershipMessage.GenerationPromise promise : promises.values()) {
            if (promise.initialState() != null
                    && (highest == null || promise.accepted().compareTo(highest.accepted()) > 0)) {
                highest = promise;
            }
            allSurvivors.add(promise.survivingState());
        }
        return highest != null ? highest.initialState() : merger.merge(baseGeneration, allSurvivors, voters);
    }

    /** Records an acceptance; with a majority of them the generation is chosen. */
    void onAccepted(final MembershipMessage.GenerationAccepted reply) {
        if (phase != Phase.ACCEPTING
                || !isForThisProposal(reply.baseGeneration(), reply.proposalNumber(), reply.name())) {
            return;
        }
        if (!reply.granted()) {
            highestSeenCount = Math.max(highestSeenCount, reply.promised().count());
            return;
        }
        acceptedBy.add(reply.name());
        if (acceptedBy.size() >= electorate.majority()) {
            onChosen(proposed);
        }
    }

    private void onChosen(final InitialState initialState) {
        transitionTo(Phase.IDLE, "chosen");
        for (final Voter voter : initialState.voterSet().voters()) {
            if (!voter.name().equals(context.local().name())) {
                context.send(voter.address(), new MembershipMessage.GenerationStarted(initialState));
            }
        }
        listener.onGenerationChosen(initialState);
    }
}
