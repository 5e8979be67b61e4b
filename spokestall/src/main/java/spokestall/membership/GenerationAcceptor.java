package spokestall.membership;

import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.message.MessageCodec;

/**
 * Acceptor of the two-phase vote on the successor of this core's generation; {@link GenerationRecovery} is the proposer.
 *
 * <p>A core resigns from its current generation before it votes here, so that the old generation and the new one can never both
 * have a majority. The resignation takes effect in memory before the vote is written. The vote is durable before the promise or
 * acceptance is sent, and after a restart a stored vote makes the core resign again. The promised numbers for one generation
 * never decrease.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class GenerationAcceptor {
    /** Key of the stored {@link Vote}. Part of the stored format. */
    public static final String VOTE_KEY = "~form";

    /**
     * The stored vote, written by the order of its fields.
     *
     * @param baseGeneration generation that the vote ends
     * @param promised highest proposal number that this core has promised
     * @param accepted proposal number of {@code initialState}, or {@link ProposalNumber#NONE}
     * @param initialState accepted initial state of the next generation, or null
     */
    record Vote(long baseGeneration, ProposalNumber promised, ProposalNumber accepted, InitialState initialState) {}

    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final RecoveryElectorate electorate;
    private final Acceptor acceptor;
    /** Null if this core has not voted, or not since it last restarted as a blank voter. */
    private Vote vote;

    /** Loads the stored vote, and resigns again if the vote ends the current generation. */
    GenerationAcceptor(
            final MembershipContext context,
            final MembershipEnvironment environment,
            final RecoveryElectorate electorate) {
        this.context = context;
        this.environment = environment;
        this.electorate = electorate;
        this.acceptor = context.acceptor();
        final byte[] stored = acceptor.localRecord(VOTE_KEY);
        vote = stored == null ? null : MessageCodec.decodeRecord(stored, Vote.class);
        if (vote != null && vote.baseGeneration == context.generation()) {
            acceptor.resign(vote.baseGeneration);
        }
    }

    /** Returns the count of the highest proposal number that this core has promised, or 0 if it has promised none. */
    long promisedCount() {
        return vote == null ? 0 : vote.promised.count();
    }

    /**
     * Handles phase one. Replies to a proposer with an older voter set with the current one, and to a lower proposal number than
     * promised with a rejection. Does not reply to a prepare for a newer generation, or while this core may not vote.
     */
    void onPrepare(final MembershipMessage.GenerationPrepare prepare) {
        if (isOutdated(prepare)) {
            // The proposer's electorate may differ from this core's.
            context.send(prepare.from(), new ConsensusMessage.VoterSetUpdate(context.voterSet()));
            return;
        }
        if (!mayVoteOn(prepare.baseGeneration())) {
            return;
        }
        final boolean sameGeneration = vote != null && vote.baseGeneration == prepare.baseGeneration();
        if (sameGeneration && prepare.proposalNumber().compareTo(vote.promised) < 0) {
            context.send(prepare.from(), rejection(prepare));
            return;
        }
        // Read before the resignation, so that the resignation cannot change the reported state.
        final SurvivingState survivingState = environment.survivingState();
        final Vote next = new Vote(
                prepare.baseGeneration(),
                prepare.proposalNumber(),
                sameGeneration ? vote.accepted : ProposalNumber.NONE,
                sameGeneration ? vote.initialState : null);
        store(next, () -> context.send(prepare.from(), promise(prepare, next, survivingState)));
    }

    private boolean isOutdated(final MembershipMessage.GenerationPrepare prepare) {
        if (context.voterSet() == null) {
            return false;
        }
        final boolean olderEpoch = prepare.baseGeneration() == context.generation()
                && prepare.epoch() > 0
                && prepare.epoch() < context.voterSet().epoch();
        return prepare.baseGeneration() < context.generation() || olderEpoch;
    }

    private boolean mayVoteOn(final long baseGeneration) {
        return baseGeneration == context.generation() && acceptor.canWrite() && electorate.containsLocal();
    }

    private MembershipMessage.GenerationPromise promise(
            final MembershipMessage.GenerationPrepare prepare, final Vote stored, final SurvivingState survivingState) {
        return new MembershipMessage.GenerationPromise(
                prepare.baseGeneration(),
                prepare.proposalNumber(),
                context.local().name(),
                context.local().address(),
                acceptor.diskId(),
                true,
                stored.promised,
                stored.accepted,
                stored.initialState,
                survivingState);
    }

    private MembershipMessage.GenerationPromise rejection(final MembershipMessage.GenerationPrepare prepare) {
        return new MembershipMessage.GenerationPromise(
                prepare.baseGeneration(),
                prepare.proposalNumber(),
                context.local().name(),
                context.local().address(),
                acceptor.diskId(),
                false,
                vote.promised,
                vote.accepted,
                null,
                null);
    }

    /** Handles phase two. Does not reply to an accept for another generation, or while this core may not vote. */
    void onAccept(final MembershipMessage.GenerationAccept accept) {
        if (!mayVoteOn(accept.baseGeneration())) {
            return;
        }
        final ProposalNumber number = accept.proposalNumber();
        if (vote != null && vote.baseGeneration == accept.baseGeneration() && number.compareTo(vote.promised) < 0) {
            context.send(accept.from(), rejection(accept));
            return;
        }
        store(
                new Vote(accept.baseGeneration(), number, number, accept.initialState()),
                () -> context.send(accept.from(), acceptance(accept)));
    }

    private MembershipMessage.GenerationAccepted acceptance(final MembershipMessage.GenerationAccept accept) {
        return new MembershipMessage.GenerationAccepted(
                accept.baseGeneration(),
                accept.proposalNumber(),
                context.local().name(),
                true,
                accept.proposalNumber());
    }

    private MembershipMessage.GenerationAccepted rejection(final MembershipMessage.GenerationAccept accept) {
        return new MembershipMessage.GenerationAccepted(
                accept.baseGeneration(),
                accept.proposalNumber(),
                context.local().name(),
                false,
                vote.promised);
    }

    /** Resigns, stores the vote, and runs the action once the vote is durable. The action does not run if the write fails. */
    private void store(final Vote next, final Runnable whenDurable) {
        vote = next;
        acceptor.resign(next.baseGeneration);
        acceptor.putLocalRecord(VOTE_KEY, MessageCodec.encodeRecord(next), ok -> {
            if (ok) {
                whenDurable.run();
            }
        });
    }

    /** Replaces the disk identity and discards the vote that was given under it, so that this core restarts as a blank voter. */
    void restartAsBlankVoter() {
        vote = null;
        acceptor.resetIdentity(environment.freshDiskId());
        // The disk identity that voted is already replaced, so nothing depends on when the vote is removed.
        acceptor.putLocalRecord(VOTE_KEY, null, ok -> {});
    }
}
