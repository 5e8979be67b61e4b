package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/**
 * Membership on one core: decides which cores are voters and with which disks.
 *
 * <p>Passes messages and ticks to the state machines below, in the order that they require. Every newer voter set is applied
 * here, except the first one of a generation in which this core is a voter, which {@link GenerationStart} applies.
 *
 * <ul>
 *   <li>{@link VoterStatusExchange}: which cores are reachable, with which disk and whether they have state
 *   <li>{@link BootstrapProposer}: the first generation of a fleet without a configured number of cores
 *   <li>{@link GenerationRecovery} and {@link GenerationAcceptor}: the vote on a new generation when no majority with state is left
 *   <li>{@link GenerationStart}: the start of a generation that was chosen
 *   <li>{@link Reconfiguration}: changes of one voter while a majority votes
 * </ul>
 *
 * <p>Recovery has priority over reconfiguration: while a recovery is in progress, no reconfiguration starts. Each class
 * documents what it stores before it replies. Not thread-safe; all calls on the node's event loop.
 */
public final class MembershipCoordinator {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final Optional<BootstrapProposer> bootstrapProposer;
    private final VoterStatusExchange statusExchange;
    private final GenerationAcceptor generationAcceptor;
    private final GenerationRecovery recovery;
    private final GenerationStart generationStart;
    private final Reconfiguration reconfiguration;

    /** Creates the state machines; {@code bootstrapProposer} is empty on a core that may not bootstrap the fleet. */
    public MembershipCoordinator(
            final MembershipContext context,
            final MembershipEnvironment environment,
            final InitialStateMerger merger,
            final ToleratedLoss toleratedLoss,
            final Optional<BootstrapProposer> bootstrapProposer) {
        this.context = context;
        this.environment = environment;
        this.bootstrapProposer = bootstrapProposer;
        final RecoveryElectorate electorate = new RecoveryElectorate(context);
        this.statusExchange = new VoterStatusExchange(context, environment, bootstrapProposer.isPresent());
        this.generationAcceptor = new GenerationAcceptor(context, environment, electorate);
        this.recovery = new GenerationRecovery(
                context, environment, electorate, generationAcceptor, merger, this::onGenerationStarted);
        this.generationStart = new GenerationStart(context);
        this.reconfiguration = new Reconfiguration(
                context,
                environment,
                new ReconfigurationPlanner(context.local().name(), toleratedLoss),
                generationAcceptor,
                this::adopt);
    }

    /** Whether enough other voters have reported to rule out that this core's disk was restored to an older state. */
    public boolean isDiskVerified() {
        return statusExchange.isDiskVerified();
    }

    /** Applies a voter set if it is newer than the current one, and then drops all registers that decide voter sets. */
    public void adopt(final VoterSet voterSet) {
        final boolean newer = voterSet.newerThan(context.voterSet());
        context.acceptor().updateVoterSet(voterSet);
        context.proposer().updateVoterSet(voterSet);
        if (newer) {
            dropVoterSetRegisters();
            recovery.onNewVoterSet();
        }
    }

    private void dropVoterSetRegisters() {
        for (final String key : List.copyOf(
                context.acceptor().registers().tailMap(VoterSet.KEY_PREFIX).keySet())) {
            if (key.startsWith(VoterSet.KEY_PREFIX)) {
                context.acceptor().removeRegister(key);
            }
        }
    }

    /** Sends this core's status if due, then advances bootstrap, recovery or reconfiguration. */
    public void onTick() {
        statusExchange.onTick(recovery.phase());
        context.acceptor().onTick(context.local().address());
        final Map<String, MembershipMessage.VoterStatus> statuses = statusExchange.freshStatuses();
        generationStart.onTick(statuses);
        if (context.voterSet() == null && context.settings().configuredCores() == 0) {
            bootstrap(statuses);
        } else if (recovery.onTick(statuses) == GenerationRecovery.TickResult.NOT_REQUIRED) {
            reconfiguration.onTick(statuses);
        }
    }

    private void bootstrap(final Map<String, MembershipMessage.VoterStatus> statuses) {
        if (bootstrapProposer.isEmpty() || !context.acceptor().canWrite() || !environment.isFleetClockSettled()) {
            return;
        }
        final Map<String, Voter> candidates = new TreeMap<>();
        statuses.forEach((name, status) -> {
            if (status.bootstrapCandidate() && status.canWrite()) {
                candidates.put(name, new Voter(name, status.address(), status.diskId()));
            }
        });
        bootstrapProposer.get().onTick(candidates);
    }

    /** Handles a message of another core, except {@link MembershipMessage.SurvivingStateRequest}, which the node answers. */
    public void onMessage(final MembershipMessage message) {
        if (message instanceof MembershipMessage.VoterStatus status) {
            onVoterStatus(status);
        } else if (message instanceof MembershipMessage.GenerationPrepare prepare) {
            generationAcceptor.onPrepare(prepare);
        } else if (message instanceof MembershipMessage.GenerationPromise promise) {
            recovery.onPromise(promise);
        } else if (message instanceof MembershipMessage.GenerationAccept accept) {
            generationAcceptor.onAccept(accept);
        } else if (message instanceof MembershipMessage.GenerationAccepted reply) {
            recovery.onAccepted(reply);
        } else if (message instanceof MembershipMessage.GenerationStarted started) {
            onGenerationStarted(started.initialState());
        } else if (message instanceof MembershipMessage.SurvivingStateResponse response) {
            recovery.onSurvivingState(response.survivingState());
        }
    }

    private void onVoterStatus(final MembershipMessage.VoterStatus status) {
        final VoterStatusExchange.ReceiveResult result = statusExchange.onVoterStatus(status);
        if (result == VoterStatusExchange.ReceiveResult.REJECTED) {
            return;
        }
        if (statusExchange.provesDiskRollback(status)) {
            // The disk may lack promises that this core has made, so the core must not vote again as the same voter.
            LOG.atSevere().log(
                    "event=disk_older node=%s written=%s knownWritten=%s reportedBy=%s",
                    context.local().name(), context.acceptor().syncedSeq(), status.recipientWritten(), status.name());
            generationAcceptor.restartAsBlankVoter();
        }
        exchangeVoterSets(status);
        if (result == VoterStatusExchange.ReceiveResult.NEW_OR_RETURNED) {
            // A new or returned peer receives this core's status now instead of at the next tick.
            statusExchange.sendLocalStatus(status.address());
        }
    }

    private void exchangeVoterSets(final MembershipMessage.VoterStatus status) {
        if (status.hasNewerVoterSetThan(context.voterSet())) {
            if (status.voterSet() != null) {
                adopt(status.voterSet());
            } else {
                // The peer replies to a status with an older voter set by sending its own voter set.
                statusExchange.sendLocalStatus(status.address());
            }
            return;
        }
        final Optional<InitialState> missedState = generationStart.initialStateMissedBy(status);
        if (missedState.isPresent()) {
            context.send(status.address(), new MembershipMessage.GenerationStarted(missedState.get()));
        } else if (status.lacksVoterSet(context.voterSet())) {
            context.send(status.address(), new ConsensusMessage.VoterSetUpdate(context.voterSet()));
        }
    }

    private void onGenerationStarted(final InitialState initialState) {
        switch (generationStart.onGenerationStarted(initialState)) {
            case NOT_A_VOTER -> adopt(initialState.voterSet());
            case STARTED -> recovery.onGenerationStarted();
            case KNOWN_GENERATION, OUTDATED -> {
                // GenerationStart has handled the message, and no other state machine is affected.
            }
        }
    }
}
