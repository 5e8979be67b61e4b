package spokestall.configuration.feed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import spokestall.consensus.VoterSet;
import spokestall.time.Clock;

/**
 * A lease during which this node may treat its applied configuration as the newest. It is renewed by read-index rounds.
 *
 * <p>A round requests from every voter the newest version that the voter has accepted. The round confirms the configuration
 * once a majority of one voter set has answered that round and the newest version among the answers is applied here. The
 * lease starts when the round is <em>sent</em>, not when it is answered, because another version may be committed in between.
 *
 * <p>Not thread-safe; call only on the node's event loop. At most {@link Timings#openRoundsMax} rounds and
 * {@value #WAITERS_MAX} waiters are kept.
 */
public final class FreshnessLease {
    /**
     * The lease's settings.
     *
     * @param leaseMs the duration of the lease, in milliseconds
     * @param openRoundsMax the maximum number of rounds that are kept while they wait for answers
     */
    record Timings(long leaseMs, int openRoundsMax) {}

    /** Receives the result of {@link #awaitConfirmation}, exactly once. */
    public interface ConfirmationCallback {
        /**
         * Receives the result.
         *
         * @param confirmed whether a round that was sent after the call confirmed the configuration before the deadline
         */
        void onResult(boolean confirmed);
    }

    /** Sends rounds of requests to the voters. */
    interface RoundSender {
        /** Sends a round and calls {@link FreshnessLease#onRoundSent} for it. */
        void sendRound();
    }

    /** A round and the answers that have arrived for it. */
    private static final class Round {
        private final long sentMs;
        private final VoterSet voterSet;
        private final Map<String, Long> newestVersionByVoter = new HashMap<>();

        Round(final long sentMs, final VoterSet voterSet) {
            this.sentMs = sentMs;
            this.voterSet = voterSet;
        }

        boolean confirms(final VoterSet currentVoterSet, final long appliedVersion) {
            return voterSet == currentVoterSet
                    && newestVersionByVoter.size() >= currentVoterSet.majority()
                    && readIndex() <= appliedVersion;
        }

        /** Returns the newest version among the answers; this node must have applied it for a read to be up to date. */
        private long readIndex() {
            return newestVersionByVoter.values().stream()
                    .mapToLong(Long::longValue)
                    .max()
                    .orElse(Long.MAX_VALUE);
        }
    }

    private record Waiter(long requestedMs, long deadlineMs, ConfirmationCallback callback) {}

    private static final int WAITERS_MAX = 256;
    /** The number of times per lease duration at which rounds are repeated for a waiter. */
    private static final int ROUNDS_PER_LEASE = 6;

    private final Clock clock;
    private final RoundSender sender;
    private Timings timings;
    private final TreeMap<Long, Round> rounds = new TreeMap<>();
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    /** The time at which the newest confirmed round was sent; far in the past until a round is confirmed. */
    private long confirmedMs = Long.MIN_VALUE / 2;

    FreshnessLease(final Clock clock, final Timings timings, final RoundSender sender) {
        this.clock = clock;
        this.timings = timings;
        this.sender = sender;
    }

    void updateTimings(final Timings newer) {
        timings = newer;
    }

    /** Returns the time since the newest confirmed round was sent, in milliseconds. */
    public long ageMs() {
        return clock.nowMs() - confirmedMs;
    }

    /** Returns whether the lease is valid, so that this node may act on its applied configuration. */
    public boolean isFresh() {
        return ageMs() <= timings.leaseMs();
    }

    /** Returns the time at which the lease expires, on this node's monotonic clock. */
    public long expiresMs() {
        return confirmedMs + timings.leaseMs();
    }

    /** Starts tracking a round; the oldest rounds are dropped beyond {@link Timings#openRoundsMax}. */
    void onRoundSent(final long requestId, final VoterSet voterSet) {
        rounds.put(requestId, new Round(clock.nowMs(), voterSet));
        while (rounds.size() > timings.openRoundsMax()) {
            rounds.pollFirstEntry();
        }
    }

    /** Counts a voter's answer to a round of the same voter set. Answers to unknown rounds are ignored. */
    void onAnswer(final long requestId, final VoterSet voterSet, final String voterName, final long newestVersion) {
        final Round round = rounds.get(requestId);
        if (round != null && round.voterSet == voterSet) {
            round.newestVersionByVoter.put(voterName, newestVersion);
        }
    }

    /**
     * Renews the lease from the newest round that confirms the applied version, and notifies the waiters that were added no later
     * than that round was sent.
     */
    void renew(final VoterSet voterSet, final long appliedVersion) {
        for (final Round round : rounds.descendingMap().values()) {
            if (round.confirms(voterSet, appliedVersion)) {
                confirmedMs = Math.max(confirmedMs, round.sentMs);
                break;
            }
        }
        while (!waiters.isEmpty() && waiters.peek().requestedMs <= confirmedMs) {
            final Waiter satisfied = waiters.poll();
            satisfied.callback.onResult(clock.nowMs() < satisfied.deadlineMs);
        }
    }

    /**
     * Waits for a confirmation by a round that is sent from now on. A confirmation after the deadline is reported as failed:
     * after a process pause, answers that arrived before the pause are delivered first and the timers run only after them.
     *
     * @param timeoutMillis the time to wait; if it isn't positive, or if there are too many waiters, the wait fails immediately
     * @param callback receives the result once, possibly during this call
     */
    public void awaitConfirmation(final long timeoutMillis, final ConfirmationCallback callback) {
        if (timeoutMillis <= 0 || waiters.size() >= WAITERS_MAX) {
            callback.onResult(false);
            return;
        }
        final Waiter waiter = new Waiter(clock.nowMs(), clock.nowMs() + timeoutMillis, callback);
        waiters.add(waiter);
        clock.after(timeoutMillis, () -> {
            if (waiters.remove(waiter)) {
                waiter.callback.onResult(false);
            }
        });
        repeatRound(waiter, timeoutMillis);
        sender.sendRound();
    }

    /**
     * Sends further rounds until the wait ends. Messages can be lost, and if an accepted version isn't committed yet, rounds
     * confirm nothing until its proposal ends.
     */
    private void repeatRound(final Waiter waiter, final long remainingMs) {
        final long intervalMs = Math.max(1, timings.leaseMs() / ROUNDS_PER_LEASE);
        if (remainingMs > intervalMs) {
            clock.after(intervalMs, () -> {
                if (waiters.contains(waiter)) {
                    sender.sendRound();
                    repeatRound(waiter, remainingMs - intervalMs);
                }
            });
        }
    }
}
