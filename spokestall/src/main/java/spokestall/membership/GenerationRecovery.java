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
 * <p>The proposer first collects surviving state from all nodes, then runs a two-phase vote among the {@link RecoveryElectorate},
 * whose members reply through their {@link GenerationAcceptor}s. Transitions:
 *
 * <pre>
 * IDLE -> COLLECTING       recovery has been required for long enough
 * COLLECTING -> PREPARING  the settle time has passed
 * PREPARING -> ACCEPTING   a majority promised, and so did every reachable core with state unless the wait for it is over
 * ACCEPTING -> IDLE        a majority accepted: the generation is chosen
 * any -> IDLE              a vote round timed out, a newer voter set was adopted, or this core started a new generation
 * </pre>
 *
 * <p>The proposer stores nothing on disk: each proposer id is used by one incarnation only, and the next proposal finds any state
 * that acceptors have stored. Not thread-safe; all calls on the node's event loop.
 */
final class GenerationRecovery {
    /** Phases of the proposer. */
    enum Phase {
        IDLE,
        COLLECTING,
        PREPARING,
        ACCEPTING
    }

    /** Whether a tick found that a recovery is required. */
    enum TickResult {
        /** A majority with state is available or may become available. */
        NOT_REQUIRED,
        /** A recovery is in progress or about to start; no reconfiguration may start until it ends. */
        IN_PROGRESS
    }

    /** Receives the generation that was chosen through this core's proposal. */
    @FunctionalInterface
    interface GenerationListener {
        /** Called once, after this core has sent the initial state to the other voters. */
        void onGenerationChosen(InitialState initialState);
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Number of timed-out rounds in which the proposer waits for every reachable core with state to promise. */
    private static final int STATE_WAIT_ROUNDS_MAX = 4;

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

    /** Abandons the proposal, since a newer voter set was adopted. */
    void onNewVoterSet() {
        transitionTo(Phase.IDLE, "new_voter_set");
    }

    /** Ends the recovery after this core has started the new generation. */
    void onGenerationStarted() {
        requiredSinceMillis = UNSET;
        timedOutRounds = 0;
        transitionTo(Phase.IDLE, "generation_started");
    }

    /** Starts or advances a recovery if one is required. {@code statuses} are the current statuses by core name. */
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

    /**
     * Starts collecting once recovery has been required for the settle time, or for longer while some voter has no current status.
     * Waits one more round for each reachable core with a lower name, so that cores do not propose concurrently.
     */
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
     * Whether a core that reported state and is still reachable has not promised yet. Such a core is slow, and until it promises,
     * it may vote in the old generation for a value that no other core has. False after too many rounds have timed out.
     */
    private boolean isWaitingForPromiseWithState(final Map<String, MembershipMessage.VoterStatus> statuses) {
        return timedOutRounds < STATE_WAIT_ROUNDS_MAX
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

    /** Records the surviving state of a node, in phase COLLECTING only. */
    void onSurvivingState(final SurvivingState survivor) {
        if (phase == Phase.COLLECTING) {
            survivors.put(survivor.name(), survivor);
        }
    }

    /** Records a promise, or the higher proposal number of a rejection. */
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

    /** Returns the cores that promised, with their current disks, and the other voters of the old set, each without a disk. */
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

    /**
     * Returns the state that was accepted under the highest proposal number, since it may be chosen already; if there is none,
     * merges all surviving state.
     */
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

    /** Records an acceptance. Once a majority has accepted, the generation is chosen. */
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
