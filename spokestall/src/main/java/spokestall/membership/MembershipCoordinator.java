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
 * <p>Passes messages and ticks to the state machines, in the order that they need, and is the only place where a newer voter set
 * comes into force:
 *
 * <ul>
 *   <li>{@link VoterStatusExchange}: who is there, with which disk and how much state
 *   <li>{@link BootstrapProposer}: the first generation of a fleet without a configured number of cores
 *   <li>{@link GenerationRecovery} and {@link GenerationAcceptor}: the vote on a new generation when no majority with state is left
 *   <li>{@link GenerationStart}: the beginning of a generation that was chosen
 *   <li>{@link Reconfiguration}: changes of one voter while a majority votes
 * </ul>
 *
 * <p>Recovery comes before reconfiguration: while the former is in progress the voter set is not changed. What is stored before
 * which reply is stated in those classes. Not thread-safe; all calls on the node's event loop.
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

    /** Whether enough other voters have reported to exclude that this disk is an older state of itself. */
    public boolean isDiskVerified() {
        return statusExchange.isDiskVerified();
    }

    /** Brings a voter set into force if it is newer than the present one, and drops the registers of older ones. */
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

    /** Sends the status, then advances bootstrap, recovery or reconfiguration, whichever is due. */
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

    /** Handles a message of another core; a {@link MembershipMessage.SurvivingStateRequest} is the node's to answer. */
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
            // What this core once promised may not be on its disk, so it must not remain the same voter.
            LOG.atSevere().log(
                    "event=disk_older node=%s written=%s knownWritten=%s reportedBy=%s",
                    context.local().name(), context.acceptor().syncedSeq(), status.recipientWritten(), status.name());
            generationAcceptor.restartAsBlankVoter();
        }
        exchangeVoterSets(status);
        if (result == VoterStatusExchange.ReceiveResult.NEW_OR_RETURNED) {
            // A peer that has just come should not have to wait for the next tick.
            statusExchange.sendLocalStatus(status.address());
        }
    }

    private void exchangeVoterSets(final MembershipMessage.VoterStatus status) {
        if (status.hasNewerVoterSetThan(context.voterSet())) {
            if (status.voterSet() != null) {
                adopt(status.voterSet());
            } else {
                // The peer answers a status with an older voter set by sending its own.
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
                // Nothing else depends on it.
            }
        }
    }
}
