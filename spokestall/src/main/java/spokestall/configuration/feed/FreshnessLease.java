package spokestall.configuration.feed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import spokestall.consensus.VoterSet;
import spokestall.time.Clock;

/**
 * The freshness lease (a read index): until when this node may treat the configuration that it has applied as the newest.
 *
 * <p>A round requests of every voter the newest version that it accepted. The round confirms the configuration once a
 * majority of one voter set answered that round and the newest version among the answers is applied here. The lease then
 * runs from when the round was <em>sent</em>, never from when it was answered, since a version may have been committed
 * between the two.
 *
 * <p>Not thread-safe; all calls on the node's event loop. At most {@link Timings#openRoundsMax} rounds and
 * {@value #WAITERS_MAX} waiters are kept.
 */
public final class FreshnessLease {
    /** The lease's duration in milliseconds, and how many unanswered rounds are kept. */
    record Timings(long leaseMs, int openRoundsMax) {}

    /** Receives the one result of {@link #awaitConfirmation}. */
    public interface ConfirmationCallback {
        /**
         * Receives the result.
         *
         * @param confirmed whether a round sent after the call confirmed the configuration in time
         */
        void onResult(boolean confirmed);
    }

    /** Sends one more round of requests to the voters. */
    interface RoundSender {
        /** Sends a round; it calls {@link FreshnessLease#onRoundSent}. */
        void sendRound();
    }

    /** The answers to one round. */
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

        /** The version that must be applied before a read is current. */
        private long readIndex() {
            return newestVersionByVoter.values().stream()
                    .mapToLong(Long::longValue)
                    .max()
                    .orElse(Long.MAX_VALUE);
        }
    }

    private record Waiter(long requestedMs, long deadlineMs, ConfirmationCallback callback) {}

    private static final int WAITERS_MAX = 256;
    /** A waiter's round is repeated so many times within one lease duration. */
    private static final int ROUNDS_PER_LEASE = 6;

    private final Clock clock;
    private final RoundSender sender;
    private Timings timings;
    private final TreeMap<Long, Round> rounds = new TreeMap<>();
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    /** When the newest confirmed round was sent; far in the past before the first. */
    private long confirmedMs = Long.MIN_VALUE / 2;

    FreshnessLease(final Clock clock, final Timings timings, final RoundSender sender) {
        this.clock = clock;
        this.timings = timings;
        this.sender = sender;
    }

    void updateTimings(final Timings newer) {
        timings = newer;
    }

    /** Returns how long ago the newest confirmed round was sent, in milliseconds. */
    public long ageMs() {
        return clock.nowMs() - confirmedMs;
    }

    /** Returns whether the lease is valid: the configuration here may be acted on. */
    public boolean isFresh() {
        return ageMs() <= timings.leaseMs();
    }

    /** Returns when the lease expires, on this node's monotonic clock. */
    public long expiresMs() {
        return confirmedMs + timings.leaseMs();
    }

    /** Begins a round; the oldest ones are abandoned beyond the bound. */
    void onRoundSent(final long requestId, final VoterSet voterSet) {
        rounds.put(requestId, new Round(clock.nowMs(), voterSet));
        while (rounds.size() > timings.openRoundsMax()) {
            rounds.pollFirstEntry();
        }
    }

    /** Counts a voter's answer to a round of the same voter set; an unknown round is ignored. */
    void onAnswer(final long requestId, final VoterSet voterSet, final String voterName, final long newestVersion) {
        final Round round = rounds.get(requestId);
        if (round != null && round.voterSet == voterSet) {
            round.newestVersionByVoter.put(voterName, newestVersion);
        }
    }

    /** Renews the lease by the newest round that confirms the applied version, and notifies whom that satisfies. */
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
     * Waits for a confirmation whose round is sent from now on. A confirmation that arrives past the deadline counts as none:
     * after a pause of the process, answers from before it are delivered first and its timers only then.
     *
     * @param timeoutMillis how long to wait; the result is negative at once if it isn't positive or too many wait already
     * @param callback receives the result once, possibly within this call
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

    /** Requests may be lost, and a proposal that began elsewhere must end before its version can be confirmed. */
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
