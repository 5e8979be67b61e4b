package spokestall.consensus;

import java.util.HashSet;
import java.util.Set;

/**
 * A single change or read of a register, from its first message to its outcome.
 *
 * <p><b>Phases and transitions.</b> {@link #transitionTo} makes every transition:
 *
 * <ul>
 *   <li>{@link Phase#NEW}: no message sent yet. A read goes to PEEK and a change to PREPARE. A change goes to ACCEPT directly if
 *       the cache has this proposer's last committed value of the register and the voter set is the same: the acceptors promised
 *       the proposer's next number when they accepted that value.
 *   <li>{@link Phase#PEEK}: waits until a majority has returned its accepted values. If all are the same, that value is chosen and
 *       the read is complete; otherwise the proposal goes to PREPARE to finish the change that another proposer began.
 *   <li>{@link Phase#PREPARE}: waits until a majority has promised this attempt's number. Among the values that the majority has
 *       accepted, the one with the highest number may be chosen, so the editor receives that one. Goes to ACCEPT, or to COMPLETED
 *       if the editor leaves a value that the whole majority has accepted.
 *   <li>{@link Phase#ACCEPT}: waits until a majority has accepted the editor's value, or the value found in PREPARE. That value is
 *       then chosen, and the proposal goes to COMPLETED.
 *   <li>{@link Phase#COMPLETED}: the callback has been called. The proposal counts late acknowledgements for one more timeout.
 * </ul>
 *
 * If a majority is out of reach or doesn't reply in time, the next attempt starts in PREPARE with a higher number after a jittered
 * backoff. During the backoff the proposal is already in the phase in which that attempt starts. An attempt counts replies of one
 * voter set only; when the proposer adopts a newer voter set, the proposal starts over.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class Proposal {
    private enum Phase {
        NEW,
        PEEK,
        PREPARE,
        ACCEPT,
        COMPLETED
    }

    /** Limits the phase timeout, which doubles after each timeout in case the network or this node is slow, to 2^2 = 4 times. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    /** Limits the backoff, which doubles with each attempt, to 2^3 = 8 times. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final Proposer proposer;
    private final String key;
    private final long deadlineMs;
    private final RegisterEditor editor;
    private final ProposalCallback callback;
    /** Voters that replied OK in this phase, from the disk that has their slot. */
    private final Set<String> granted = new HashSet<>();
    /** Voters that sent any other reply in this phase. A voter can be in both sets, since messages may be delivered twice. */
    private final Set<String> notGranted = new HashSet<>();
    /** The numbers under which the voters in {@link #granted} have accepted their values. */
    private final Set<ProposalNumber> acceptedNumbers = new HashSet<>();

    private Phase phase = Phase.NEW;
    private long attemptId;
    private int attempts;
    private int timeouts;
    /** The voter set of the current attempt. */
    private VoterSet voterSet;
    /** The proposal number of the current attempt. */
    private ProposalNumber number;

    private ProposalNumber highestAccepted;
    private byte[] highestValue;
    private byte[] proposedValue;
    /** Whether the editor set the proposed value; false if it was found in PREPARE. */
    private boolean proposedEditorValue;
    /** Whether any attempt proposed a value that the editor set, so that this value may be chosen. */
    private boolean editorValueMayBeChosen;

    private boolean pruned;
    private boolean rejected;
    private boolean outranked;

    Proposal(
            final Proposer proposer,
            final String key,
            final long deadlineMs,
            final RegisterEditor editor,
            final ProposalCallback callback) {
        this.proposer = proposer;
        this.key = key;
        this.deadlineMs = deadlineMs;
        this.editor = editor;
        this.callback = callback;
    }

    /** Starts a change. */
    void start() {
        final ProposerCache.Committed lastCommitted = proposer.cache.takeCommitted(key);
        final RegisterEdit edit =
                lastCommitted != null && lastCommitted.voterSet() == proposer.voterSet() && !isOverdue()
                        ? editor.edit(lastCommitted.value())
                        : RegisterEdit.LEAVE;
        if (edit instanceof RegisterEdit.Set set) {
            beginAttempt(Phase.ACCEPT);
            proposer.cache.observeCount(key, lastCommitted.next().count());
            number = lastCommitted.next();
            propose(set.value(), true);
        } else {
            startAttempt(Phase.PREPARE);
        }
    }

    /** Starts a read. */
    void startRead() {
        startAttempt(Phase.PEEK);
    }

    /** Makes every transition of {@link #phase}. */
    private void transitionTo(final Phase next) {
        assert next != Phase.NEW && phase != Phase.COMPLETED && (next != Phase.PEEK || phase != Phase.ACCEPT)
                : phase + " to " + next;
        phase = next;
    }

    private boolean isOverdue() {
        return proposer.clock.nowMs() >= deadlineMs;
    }

    private void startAttempt(final Phase first) {
        if (phase == Phase.COMPLETED) {
            return;
        }
        proposer.endAttempt(attemptId);
        if (isOverdue() || attempts >= proposer.timing.attemptLimit()) {
            complete(failure(ProposalOutcome.Reason.NO_MAJORITY_IN_TIME));
            return;
        }
        beginAttempt(first);
        highestAccepted = ProposalNumber.NONE;
        highestValue = null;
        if (voterSet == null) {
            backOff(first);
            return;
        }
        number = new ProposalNumber(proposer.cache.nextCount(key), proposer.proposerId);
        for (final Voter voter : voterSet.voters()) {
            proposer.sender.send(voter.address(), prepareMessage(first == Phase.PEEK));
        }
        scheduleTimeout();
    }

    private ConsensusMessage.Prepare prepareMessage(final boolean peek) {
        return new ConsensusMessage.Prepare(
                attemptId, proposer.address, voterSet.generation(), voterSet.epoch(), key, number, peek);
    }

    private void beginAttempt(final Phase first) {
        attemptId = proposer.beginAttempt(this);
        attempts++;
        transitionTo(first);
        voterSet = proposer.voterSet();
        clearReplies();
    }

    private void clearReplies() {
        granted.clear();
        notGranted.clear();
        acceptedNumbers.clear();
    }

    private void scheduleTimeout() {
        final long scheduledAttemptId = attemptId;
        final Phase scheduledPhase = phase;
        final long remainingMillis = Math.max(1, deadlineMs - proposer.clock.nowMs());
        final long timeoutMillis = proposer.timing.attemptTimeoutMillis() << Math.min(timeouts, MAX_TIMEOUT_DOUBLINGS);
        proposer.clock.after(Math.min(timeoutMillis, remainingMillis), () -> {
            if (attemptId == scheduledAttemptId && phase == scheduledPhase) {
                onTimeout();
            }
        });
    }

    private void onTimeout() {
        timeouts++;
        backOff(Phase.PREPARE);
    }

    /**
     * Starts the next attempt after a jittered backoff, so that two proposers don't collide again. An outranked proposal waits
     * longer, to give the other proposer time for its accept phase.
     */
    private void backOff(final Phase next) {
        proposer.endAttempt(attemptId);
        if (phase == Phase.COMPLETED) {
            return;
        }
        final long endedAttemptId = attemptId;
        final long backoffMillis = proposer.timing.backoffMillis();
        final long jitterMillis = backoffMillis << Math.min(attempts, MAX_BACKOFF_DOUBLINGS);
        final long yieldMillis = outranked ? 2 * backoffMillis : 0;
        transitionTo(next);
        outranked = false;
        proposer.clock.after(1 + yieldMillis + (long) (proposer.random.nextDouble() * jitterMillis), () -> {
            if (attemptId == endedAttemptId) {
                startAttempt(next);
            }
        });
    }

    /** Handles a reply in PEEK or PREPARE. */
    void onPromise(final ConsensusMessage.Promise promise) {
        if (phase != Phase.PREPARE && phase != Phase.PEEK
                || !countReply(promise.acceptor(), promise.diskId(), promise.reply())) {
            return;
        }
        if (promise.reply() == ConsensusMessage.Reply.OUTRANKED) {
            proposer.cache.observeCount(key, promise.promised().count() + 1);
        }
        if (granted.contains(promise.acceptor()) && promise.reply() == ConsensusMessage.Reply.OK) {
            acceptedNumbers.add(promise.accepted());
            if (promise.accepted().compareTo(highestAccepted) > 0) {
                highestAccepted = promise.accepted();
                highestValue = promise.value();
            }
        }
        if (granted.size() >= voterSet.majority()) {
            onMajorityPromised();
        } else if (isMajorityOutOfReach()) {
            onPrepareRefused();
        }
    }

    private void onMajorityPromised() {
        // A single accepted number means that the whole majority has accepted the same value, which is therefore
        // chosen, or that
        // it has accepted none.
        final boolean unanimous = acceptedNumbers.size() == 1;
        if (phase == Phase.PEEK) {
            if (unanimous) {
                complete(new ProposalOutcome.Committed(highestValue, false));
            } else {
                startAttempt(Phase.PREPARE);
            }
            return;
        }
        if (isOverdue()) {
            complete(failure(ProposalOutcome.Reason.NO_MAJORITY_IN_TIME));
            return;
        }
        if (editor.edit(highestValue) instanceof RegisterEdit.Set set) {
            propose(set.value(), true);
        } else if (unanimous) {
            complete(new ProposalOutcome.Committed(highestValue, false));
        } else {
            propose(highestValue, false);
        }
    }

    private void onPrepareRefused() {
        if (pruned) {
            complete(editorValueMayBeChosen ? new ProposalOutcome.Indeterminate() : new ProposalOutcome.Pruned());
        } else if (rejected) {
            complete(failure(ProposalOutcome.Reason.REJECTED));
        } else {
            backOff(Phase.PREPARE);
        }
    }

    private void propose(final byte[] value, final boolean fromEditor) {
        proposedValue = value;
        proposedEditorValue = fromEditor;
        editorValueMayBeChosen |= fromEditor;
        transitionTo(Phase.ACCEPT);
        clearReplies();
        for (final Voter voter : voterSet.voters()) {
            proposer.sender.send(
                    voter.address(),
                    new ConsensusMessage.Accept(
                            attemptId,
                            proposer.address,
                            voterSet.generation(),
                            voterSet.epoch(),
                            key,
                            number,
                            proposedValue));
        }
        scheduleTimeout();
    }

    /** Handles a reply in ACCEPT. Replies may also arrive after the proposal has completed. */
    void onAccepted(final ConsensusMessage.Accepted accepted) {
        if (phase == Phase.COMPLETED && accepted.reply() == ConsensusMessage.Reply.OK) {
            granted.add(accepted.acceptor());
        }
        if (phase != Phase.ACCEPT || !countReply(accepted.acceptor(), accepted.diskId(), accepted.reply())) {
            return;
        }
        if (accepted.reply() == ConsensusMessage.Reply.OUTRANKED) {
            proposer.cache.observeCount(key, accepted.promised().count() + 1);
        }
        if (granted.size() >= voterSet.majority()) {
            onChosen();
        } else if (isMajorityOutOfReach()) {
            if (rejected || pruned) {
                complete(failure(ProposalOutcome.Reason.REJECTED));
            } else {
                backOff(Phase.PREPARE);
            }
        }
    }

    private void onChosen() {
        proposer.cache.putCommitted(key, new ProposerCache.Committed(voterSet, number.next(), proposedValue));
        for (final Voter voter : voterSet.voters()) {
            if (!granted.contains(voter.name())) {
                proposer.sender.send(
                        voter.address(),
                        new ConsensusMessage.Chosen(
                                voterSet.generation(), voterSet.epoch(), key, number, proposedValue));
            }
        }
        complete(new ProposalOutcome.Committed(proposedValue, proposedEditorValue));
        reportMissedVoters();
    }

    /** Reports each voter that has not acknowledged the chosen value after one more attempt timeout. */
    private void reportMissedVoters() {
        if (granted.size() == voterSet.voters().size()) {
            return;
        }
        proposer.awaitLateReplies(attemptId, this);
        proposer.clock.after(proposer.timing.attemptTimeoutMillis(), () -> {
            proposer.endAttempt(attemptId);
            for (final Voter voter : voterSet.voters()) {
                if (!granted.contains(voter.name())) {
                    proposer.missedVoterListener.onVoterMissed(voter.name(), key);
                }
            }
        });
    }

    /**
     * Counts a reply in the current phase. Returns false if the sender is not a voter, or if the voter set has changed; in that
     * case the proposal also starts over.
     */
    private boolean countReply(final String acceptor, final String diskId, final ConsensusMessage.Reply reply) {
        if (proposer.voterSet() != voterSet) {
            backOff(Phase.PREPARE);
            return false;
        }
        final Voter voter = voterSet.voter(acceptor);
        if (voter == null) {
            return false;
        }
        final boolean ok = reply == ConsensusMessage.Reply.OK && voter.diskId().equals(diskId);
        pruned |= reply == ConsensusMessage.Reply.PRUNED;
        rejected |= reply == ConsensusMessage.Reply.REJECTED;
        outranked |= reply == ConsensusMessage.Reply.OUTRANKED;
        (ok ? granted : notGranted).add(acceptor);
        return true;
    }

    private boolean isMajorityOutOfReach() {
        return notGranted.size() > voterSet.voters().size() - voterSet.majority();
    }

    private ProposalOutcome failure(final ProposalOutcome.Reason reason) {
        return editorValueMayBeChosen ? new ProposalOutcome.Indeterminate() : new ProposalOutcome.NotCommitted(reason);
    }

    private void complete(final ProposalOutcome outcome) {
        proposer.endAttempt(attemptId);
        transitionTo(Phase.COMPLETED);
        callback.onOutcome(outcome);
    }
}
