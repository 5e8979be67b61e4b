package spokestall.consensus;

import java.util.HashSet;
import java.util.Set;

/**
 * One change, or one read, of a register on its way to its outcome.
 *
 * <p><b>Phases and transitions</b>, all made by {@link #transitionTo}:
 *
 * <ul>
 *   <li>{@link Phase#NEW}: nothing sent. A read goes to PEEK, a change to PREPARE, or to ACCEPT at once if this proposer's last
 *       change of the register is all it knows of: the acceptors promised its next number along with that change.
 *   <li>{@link Phase#PEEK}: a majority shows what it has accepted. If it is the same everywhere that value is chosen and the read is
 *       complete; else to PREPARE, to finish what another proposer began.
 *   <li>{@link Phase#PREPARE}: a majority promises a number of this proposer's. Of the values that it has accepted, the one with the
 *       highest number may be chosen, so the editor gets that one. To ACCEPT, or to COMPLETED if the editor leaves a value that
 *       all of the majority have.
 *   <li>{@link Phase#ACCEPT}: a majority accepts the editor's value, or the one found in PREPARE. Then it is chosen: COMPLETED.
 *   <li>{@link Phase#COMPLETED}: the callback was called. Late acknowledgements are counted for one more time-out.
 * </ul>
 *
 * If a majority can't be had any more or not in time, the next attempt begins with PREPARE under a higher number after a jittered
 * backoff. While a proposal backs off it is in the phase that it will begin with. An attempt counts replies of one voter set; with
 * a newer one the proposal starts over.
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

    /** The wait for a phase doubles with each that timed out, up to two to the power of this: the network or this node may be slow. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    /** The backoff doubles with each attempt up to two to the power of this. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final Proposer proposer;
    private final String key;
    private final long deadlineMs;
    private final RegisterEditor editor;
    private final ProposalCallback callback;
    /** Voters whose reply to this phase was OK, and from the disk that has their slot. */
    private final Set<String> granted = new HashSet<>();
    /** Voters that gave any other reply to this phase. A voter can be in both, if its messages came twice. */
    private final Set<String> notGranted = new HashSet<>();
    /** The numbers under which the voters of this phase had accepted their values. */
    private final Set<ProposalNumber> acceptedNumbers = new HashSet<>();

    private Phase phase = Phase.NEW;
    private long attemptId;
    private int attempts;
    private int timeouts;
    /** The voter set of this attempt. */
    private VoterSet voterSet;
    /** The number of this attempt. */
    private ProposalNumber number;

    private ProposalNumber highestAccepted;
    private byte[] highestValue;
    private byte[] proposedValue;
    /** Whether the proposed value is the editor's, not one found in PREPARE. */
    private boolean proposedEditorValue;
    /** Whether a value of the editor's was proposed in any attempt, and so may be chosen. */
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
        final ProposerCache.Committed last = proposer.cache.takeCommitted(key);
        final RegisterEdit edit = last != null && last.voterSet() == proposer.voterSet() && !isOverdue()
                ? editor.edit(last.value())
                : RegisterEdit.LEAVE;
        if (edit instanceof RegisterEdit.Set set) {
            beginAttempt(Phase.ACCEPT);
            proposer.cache.observeCount(key, last.next().count());
            number = last.next();
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
     * Starts the next attempt after a jittered wait, so that two proposers don't collide again. One that was outranked first leaves
     * the other the time for its accept phase.
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

    /** Handles a reply to PEEK or PREPARE. */
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
        // With one number everywhere the majority has accepted the same value, so it is chosen, or none is.
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

    /** Handles a reply to ACCEPT, which may come after the proposal is complete. */
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

    /** A voter that hasn't accepted the value one more time-out later has missed it. */
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

    /** Counts a reply to this phase. Returns false, and starts over, if the voter set has changed; false also for a stranger's. */
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
