package spokestall.membership;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageCodec;

/**
 * Changes the voter set by one voter at a time while a majority votes: adds this core, updates its address or disk, or removes a
 * voter that stays silent.
 *
 * <p>A majority of the current voters agrees on the voter set of the next epoch in a register for that epoch. A second proposer
 * finds the first voter set in the register and adopts it. Only an agreed voter set is adopted, and the acceptor votes under it
 * only after storing it. Transitions: IDLE -> PROPOSING when a change is due, PROPOSING -> IDLE when the proposal ends with any
 * outcome.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class Reconfiguration {
    private enum Phase {
        IDLE,
        PROPOSING
    }

    /** Receives the agreed voter sets. */
    @FunctionalInterface
    interface VoterSetListener {
        /** Called with each voter set that was read from its register; this core may know it already. */
        void onVoterSetAgreed(VoterSet voterSet);
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Number of rounds after which a resigned core restarts as a blank voter, if a majority still votes. */
    private static final int ROUNDS_RESIGNED_MAX = 4;
    /** Timeout of a proposal, in rounds. */
    private static final int PROPOSAL_TIMEOUT_ROUNDS = 2;
    /** Multiple of the silence threshold after which the other voters must have reported a silent voter. */
    private static final int JOIN_WAIT_SILENCE_PERIODS = 2;

    private static final long UNSET = -1;

    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final ReconfigurationPlanner planner;
    private final GenerationAcceptor generationAcceptor;
    private final VoterSetListener listener;
    private Phase phase = Phase.IDLE;
    private long resignedSinceMillis = UNSET;
    private long joiningSinceMillis = UNSET;

    Reconfiguration(
            final MembershipContext context,
            final MembershipEnvironment environment,
            final ReconfigurationPlanner planner,
            final GenerationAcceptor generationAcceptor,
            final VoterSetListener listener) {
        this.context = context;
        this.environment = environment;
        this.planner = planner;
        this.generationAcceptor = generationAcceptor;
        this.listener = listener;
    }

    private void transitionTo(final Phase next, final String reason) {
        assert next != phase : phase + " -> " + next;
        LOG.atInfo().log(
                "event=reconfiguration node=%s from=%s to=%s reason=%s",
                context.local().name(), phase, next, reason);
        phase = next;
    }

    /** Proposes the change that is due, if there is one and a majority votes. */
    void onTick(final Map<String, MembershipMessage.VoterStatus> statuses) {
        final VoterSet voterSet = context.voterSet();
        if (voterSet == null || phase == Phase.PROPOSING || !context.acceptor().canWrite()) {
            return;
        }
        if (!isMajorityVoting(voterSet, statuses)) {
            resignedSinceMillis = UNSET;
            return;
        }
        switch (context.acceptor().state()) {
            case RESIGNED -> restartIfResignedTooLong();
            case BLANK -> join(voterSet, statuses);
            case VOTING -> {
                joiningSinceMillis = UNSET;
                if (hasAddressChanged(voterSet)) {
                    propose(voterSet.withReplacedDisk(context.localVoter()));
                } else {
                    planner.withoutRemovableVoter(voterSet, statuses).ifPresent(this::propose);
                }
            }
            case CATCHING_UP, STOPPED -> {
                if (hasAddressChanged(voterSet)) {
                    propose(voterSet.withReplacedDisk(context.localVoter()));
                }
            }
        }
    }

    private static boolean isMajorityVoting(
            final VoterSet voterSet, final Map<String, MembershipMessage.VoterStatus> statuses) {
        int voting = 0;
        for (final MembershipMessage.VoterStatus status : statuses.values()) {
            voting += status.voting() && voterSet.voter(status.name()) != null ? 1 : 0;
        }
        return voting >= voterSet.majority();
    }

    /**
     * Restarts this core as a blank voter if it has been resigned for too long: the old generation still has a majority, so the
     * vote on a new generation, for which this core resigned, did not succeed.
     */
    private void restartIfResignedTooLong() {
        resignedSinceMillis = resignedSinceMillis == UNSET ? context.nowMillis() : resignedSinceMillis;
        if (context.nowMillis() - resignedSinceMillis
                > ROUNDS_RESIGNED_MAX * context.timeouts().roundMillis()) {
            generationAcceptor.restartAsBlankVoter();
        }
    }

    /** Whether the voter set lists this core's disk under a former address of this core. */
    private boolean hasAddressChanged(final VoterSet voterSet) {
        final Voter voter = voterSet.voter(context.local().name());
        return voter != null
                && voter.diskId().equals(context.acceptor().diskId())
                && !voter.address().equals(context.local().address());
    }

    /**
     * Proposes this core as a voter. A disk identity that has voted and has lost its slot must never become a voter again, since
     * its state lacks the changes made meanwhile; this core replaces such an identity first.
     */
    private void join(final VoterSet voterSet, final Map<String, MembershipMessage.VoterStatus> statuses) {
        if (context.acceptor().mayHaveVoted()) {
            context.acceptor().resetIdentity(environment.freshDiskId());
            return;
        }
        joiningSinceMillis = joiningSinceMillis == UNSET ? context.nowMillis() : joiningSinceMillis;
        final boolean waitExpired = context.nowMillis() - joiningSinceMillis
                > JOIN_WAIT_SILENCE_PERIODS * context.timeouts().silentAfterMillis();
        planner.withLocalVoter(
                        voterSet,
                        context.localVoter(),
                        statuses,
                        waitExpired
                                ? ReconfigurationPlanner.JoinWait.WAIT_EXPIRED
                                : ReconfigurationPlanner.JoinWait.WAIT_FOR_UNREPORTED_VOTERS)
                .ifPresent(this::propose);
    }

    private void propose(final VoterSet next) {
        transitionTo(Phase.PROPOSING, "epoch-" + next.generation() + "/" + next.epoch());
        final byte[] value = MessageCodec.encodeRecord(next);
        context.proposer()
                .propose(
                        VoterSet.key(next.generation(), next.epoch()),
                        PROPOSAL_TIMEOUT_ROUNDS * context.timeouts().roundMillis(),
                        current -> current == null ? new RegisterEdit.Set(value) : RegisterEdit.LEAVE,
                        this::onOutcome);
    }

    private void onOutcome(final ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed committed && committed.value() != null) {
            final VoterSet agreed = MessageCodec.decodeRecord(committed.value(), VoterSet.class);
            transitionTo(Phase.IDLE, "agreed");
            listener.onVoterSetAgreed(agreed);
            for (final String node : environment.otherNodeAddresses()) {
                context.send(node, new ConsensusMessage.VoterSetUpdate(agreed));
            }
        } else {
            transitionTo(Phase.IDLE, "not_agreed");
        }
    }
}
