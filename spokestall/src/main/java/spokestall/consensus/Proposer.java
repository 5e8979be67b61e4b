package spokestall.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Proposes register changes to the acceptors of the voter set, and reads registers. Any node may propose; there is no leader.
 * {@link Proposal} implements the protocol.
 *
 * <p>Concurrent proposals of one proposer for the same key don't wait for each other: they compete like proposals of two nodes, and
 * their editors must allow for that. Each callback receives at most one outcome.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class Proposer {
    /**
     * Timeouts and limits of a proposal.
     *
     * @param attemptTimeoutMillis how long a phase waits for a majority; doubled after one timeout and quadrupled after two or more
     * @param backoffMillis unit of the jittered backoff before the next attempt, which grows to at most eight times this
     * @param attemptLimit the number of attempts after which the proposal ends, even before its deadline
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
    /** Proposals that wait for replies, by attempt id. */
    private final Map<Long, Proposal> inFlight = new HashMap<>();

    private VoterSet voterSet;
    private long nextAttemptId;

    /**
     * Creates a proposer without a voter set; proposals wait for a voter set until their deadline.
     *
     * @param proposerId unique among all proposers and all incarnations of this node
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
        // A random start keeps the attempt ids distinct from those of earlier incarnations, whose replies may still
        // arrive.
        this.nextAttemptId = random.nextLong() >>> 16;
    }

    /** Returns the voter set to which this proposer sends proposals, or null if it has none yet. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** Adopts a newer voter set; attempts in flight start over with it. Ignores a voter set that is not newer. */
    public void updateVoterSet(final VoterSet next) {
        if (next.newerThan(voterSet)) {
            voterSet = next;
        }
    }

    /** Returns the number of attempts that wait for replies, including those that only wait for late acknowledgements. */
    public int attemptsInFlight() {
        return inFlight.size();
    }

    /**
     * Proposes a change of a register. The callback receives the outcome at the latest when the first attempt after the timeout
     * would start.
     */
    public void propose(
            final String key, final long timeoutMillis, final RegisterEditor editor, final ProposalCallback callback) {
        new Proposal(this, key, clock.nowMs() + timeoutMillis, editor, callback).start();
    }

    /** Reads a register. The result is at least as new as any value that was committed before this call. */
    public void read(final String key, final long timeoutMillis, final ProposalCallback callback) {
        new Proposal(this, key, clock.nowMs() + timeoutMillis, current -> RegisterEdit.LEAVE, callback).startRead();
    }

    /** Handles an acceptor's reply. Ignores replies to attempts that have ended, and all other messages. */
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

    /** Registers the proposal for replies under a new attempt id and returns that id. */
    long beginAttempt(final Proposal proposal) {
        final long attemptId = nextAttemptId++;
        inFlight.put(attemptId, proposal);
        return attemptId;
    }

    /** Registers the proposal again for late replies to an attempt that has ended. */
    void awaitLateReplies(final long attemptId, final Proposal proposal) {
        inFlight.put(attemptId, proposal);
    }

    /** Unregisters the attempt; the proposer ignores its replies from here on. */
    void endAttempt(final long attemptId) {
        inFlight.remove(attemptId);
    }
}
