package spokestall.membership;

import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.ProposalNumber;
import spokestall.message.MessageCodec;

/**
 * This core's vote on the generation that follows its own: the acceptor of the two-phase vote that {@link GenerationRecovery}
 * proposes.
 *
 * <p>Whoever votes here has resigned from its present generation first, so that the old generation and the new one can never both
 * have a majority. The resignation takes effect in memory before the vote is written; the vote is durable before the promise or
 * acceptance is sent, and after a restart the stored vote renews the resignation. Promised numbers of one generation never
 * decrease.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class GenerationAcceptor {
    /** Key of the stored {@link Vote}. Part of the stored format. */
    public static final String VOTE_KEY = "~form";

    /**
     * The stored vote, written by the order of its fields.
     *
     * @param baseGeneration the generation that the vote ends
     * @param initialState what was accepted, or null
     */
    record Vote(long baseGeneration, ProposalNumber promised, ProposalNumber accepted, InitialState initialState) {}

    private final MembershipContext context;
    private final MembershipEnvironment environment;
    private final RecoveryElectorate electorate;
    private final Acceptor acceptor;
    /** Null if none was given since the last restart as a blank voter. */
    private Vote vote;

    /** Loads the stored vote and renews the resignation that came with it. */
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

    /** The count of the highest number that this core promised, 0 if none. */
    long promisedCount() {
        return vote == null ? 0 : vote.promised.count();
    }

    /** Handles phase one. A prepare for another generation or by an older voter set gets no promise. */
    void onPrepare(final MembershipMessage.GenerationPrepare prepare) {
        if (isOutdated(prepare)) {
            // Its voters would be others than ours.
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
        // Read before the resignation, which changes what is reported as surviving.
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

    /** Handles phase two. */
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

    /** Resigns, stores the vote, and runs the action once it is durable; never if the disk failed. */
    private void store(final Vote next, final Runnable whenDurable) {
        vote = next;
        acceptor.resign(next.baseGeneration);
        acceptor.putLocalRecord(VOTE_KEY, MessageCodec.encodeRecord(next), ok -> {
            if (ok) {
                whenDurable.run();
            }
        });
    }

    /** Discards the vote with the disk identity that gave it: this core starts over as a blank voter. */
    void restartAsBlankVoter() {
        vote = null;
        acceptor.resetIdentity(environment.freshDiskId());
        // The identity that voted was replaced, so nothing waits for the vote's removal.
        acceptor.putLocalRecord(VOTE_KEY, null, ok -> {});
    }
}
