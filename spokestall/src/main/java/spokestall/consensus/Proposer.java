package spokestall.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Proposes changes of registers to the acceptors of the voter set, and reads registers. Any node may propose; there is no leader.
 * {@link Proposal} has the protocol.
 *
 * <p>Proposals of the same proposer for one key don't wait for each other: they compete like those of two nodes, and their editors
 * must allow for that. At most one outcome is reported for each.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class Proposer {
    /**
     * How long a proposal waits, and how often it starts over.
     *
     * @param attemptTimeoutMillis how long one phase waits for a majority; twice and four times as long after phases timed out
     * @param backoffMillis unit of the jittered wait before the next attempt, which grows to eight times this
     * @param attemptLimit after so many the proposal ends, whatever its deadline
     */
    public record Timing(long attemptTimeoutMillis, long backoffMillis, int attemptLimit) {}

    final String proposerId;
    final String address;
    final MessageSender sender;
    final Clock clock;
    final Random random;
    final Timing timing;
    final MissedVoterListener missedVoterListener;
    final ProposerCache cache = new ProposerCache();
    /** By the id of the attempt that waits for replies. */
    private final Map<Long, Proposal> inFlight = new HashMap<>();

    private VoterSet voterSet;
    private long nextAttemptId;

    /**
     * Creates a proposer that has no voter set yet; proposals wait for one until their deadline.
     *
     * @param proposerId differs from that of any other proposer and of any earlier incarnation of this node
     * @param address where this node receives replies
     */
    public Proposer(
            final String proposerId,
            final String address,
            final MessageSender sender,
            final Clock clock,
            final Random random,
            final Timing timing,
            final MissedVoterListener missedVoterListener) {
        this.proposerId = proposerId;
        this.address = address;
        this.sender = sender;
        this.clock = clock;
        this.random = random;
        this.timing = timing;
        this.missedVoterListener = missedVoterListener;
        // Replies to an earlier incarnation of this node must not be taken for replies to this one.
        this.nextAttemptId = random.nextLong() >>> 16;
    }

    /** Returns the voter set that proposals are made to, or null if none is known yet. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** Takes a newer voter set; attempts in flight start over with it. An older or equal one is ignored. */
    public void updateVoterSet(final VoterSet next) {
        if (next.newerThan(voterSet)) {
            voterSet = next;
        }
    }

    /** Returns how many proposals wait for replies, those included that wait for late acknowledgements only. */
    public int attemptsInFlight() {
        return inFlight.size();
    }

    /**
     * Proposes a change of a register. The callback receives the outcome, at the latest when the first attempt after the timeout
     * would begin.
     */
    public void propose(
            final String key, final long timeoutMillis, final RegisterEditor editor, final ProposalCallback callback) {
        new Proposal(this, key, clock.nowMs() + timeoutMillis, editor, callback).start();
    }

    /** Reads a register; the value is at least as new as any that was committed before this call. */
    public void read(final String key, final long timeoutMillis, final ProposalCallback callback) {
        new Proposal(this, key, clock.nowMs() + timeoutMillis, current -> RegisterEdit.LEAVE, callback).startRead();
    }

    /** Handles an acceptor's reply. Replies to attempts that are over, and other messages, are ignored. */
    public void onMessage(final ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Promise promise) {
            final Proposal proposal = inFlight.get(promise.attemptId());
            if (proposal != null) {
                proposal.onPromise(promise);
            }
        } else if (message instanceof ConsensusMessage.Accepted accepted) {
            final Proposal proposal = inFlight.get(accepted.attemptId());
            if (proposal != null) {
                proposal.onAccepted(accepted);
            }
        }
    }

    /** Registers the proposal for replies under a fresh attempt id, which it returns. */
    long beginAttempt(final Proposal proposal) {
        final long attemptId = nextAttemptId++;
        inFlight.put(attemptId, proposal);
        return attemptId;
    }

    /** Lets the proposal receive late replies to an attempt that has ended. */
    void awaitLateReplies(final long attemptId, final Proposal proposal) {
        inFlight.put(attemptId, proposal);
    }

    /** Replies to the attempt are ignored from here on. */
    void endAttempt(final long attemptId) {
        inFlight.remove(attemptId);
    }
}
