package spokestall.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import spokestall.message.MessageSender;
import spokestall.time.Clock;

/**
 * Changes one register at a time by rounds of proposal numbers among the voters. Any node may propose; there is no leader.
 * An edit may be asked again on a later round, and must know its own value when it sees it.
 */
public final class Proposer {
    /** How a round waits and comes back, as told by the settings. */
    public record Timing(long roundMs, long backoffMs, int attemptsMax) {}

    /** Why a change was not done when the voters would not take it. */
    public static final String DENIED = "denied";

    /** What this proposer had accepted last for a key: the rank it may use next, and the value that stands. */
    private record Held(VoterSet table, ProposalNumber next, byte[] value) {}

    private enum Phase {
        PEEK,
        PREPARE,
        ACCEPT,
        ENDED
    }

    private static final int KEYS_KEPT = 4096;
    private final String by;
    private final String address;
    private final MessageSender post;
    private final Clock clock;
    private final Random random;
    private final Timing timing;
    private final Map<Long, Round> rounds = new HashMap<>();
    private final Map<String, Long> counts;
    private final Map<String, Held> held;
    private final BiConsumer<String, String> missed;
    private VoterSet voterSet;
    private long nextAttemptId;

    /** {@code missed} is told which voter did not take part in a change of which key in time. */
    public Proposer(
            final String by,
            final String address,
            final MessageSender post,
            final Clock clock,
            final Random random,
            final Timing timing,
            final BiConsumer<String, String> missed) {
        this.missed = missed;
        this.by = by;
        this.address = address;
        this.post = post;
        this.clock = clock;
        this.random = random;
        this.timing = timing;
        this.nextAttemptId = random.nextLong() >>> 16;
        this.counts = newest();
        this.held = newest();
    }

    private static <T> Map<String, T> newest() {
        return new LinkedHashMap<>(64, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(final Map.Entry<String, T> eldest) {
                return size() > KEYS_KEPT;
            }
        };
    }

    /** The table rounds are held by, or null. */
    public VoterSet voterSet() {
        return voterSet;
    }

    /** Takes a newer table; rounds under way are begun again with it. */
    public void updateVoterSet(final VoterSet table) {
        if (table.newerThan(voterSet)) {
            voterSet = table;
        }
    }

    /** How many rounds are open. */
    public int roundsInFlight() {
        return rounds.size();
    }

    /** Changes a register. */
    public void propose(
            final String key,
            final long waitMs,
            final Function<byte[], RegisterEdit> edit,
            final Consumer<ProposalOutcome> done) {
        new Round(key, clock.nowMs() + waitMs, edit, done).change();
    }

    /** Reads a register so that no earlier finished change is missed. */
    public void read(final String key, final long waitMs, final Consumer<ProposalOutcome> done) {
        new Round(key, clock.nowMs() + waitMs, now -> RegisterEdit.LEAVE, done).begin(Phase.PEEK);
    }

    /** Hears a voter's reply. */
    public void onMessage(final ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Promise promise) {
            final Round round = rounds.get(promise.attemptId());
            if (round != null) {
                round.promise(promise);
            }
        } else if (message instanceof ConsensusMessage.Accepted accepted) {
            final Round round = rounds.get(accepted.attemptId());
            if (round != null) {
                round.accepted(accepted);
            }
        }
    }

    /** One change on its way through its rounds. */
    private final class Round {
        private final String key;
        private final long deadlineMs;
        private final Function<byte[], RegisterEdit> edit;
        private final Consumer<ProposalOutcome> done;
        private final Set<String> yes = new HashSet<>();
        private final Set<String> no = new HashSet<>();
        private final Set<ProposalNumber> seen = new HashSet<>();
        private Phase phase;
        private long attemptId;
        private int attempts;
        private boolean mayHold;
        private boolean gone;
        private VoterSet table;
        private ProposalNumber proposalNumber;
        private ProposalNumber highest;
        private byte[] highestValue;
        private byte[] proposed;
        private boolean wrote;
        private boolean rejected;
        private boolean outranked;

        Round(
                final String key,
                final long deadlineMs,
                final Function<byte[], RegisterEdit> edit,
                final Consumer<ProposalOutcome> done) {
            this.key = key;
            this.deadlineMs = deadlineMs;
            this.edit = edit;
            this.done = done;
        }

        /** The first phase is left out where this proposer's last change still stands, as far as it knows. */
        void change() {
            final Held last = held.remove(key);
            final RegisterEdit wanted = last != null && last.table == voterSet && clock.nowMs() < deadlineMs
                    ? edit.apply(last.value)
                    : RegisterEdit.LEAVE;
            if (wanted instanceof RegisterEdit.Set set) {
                open(Phase.ACCEPT);
                counts.merge(key, last.next.count(), Math::max);
                proposalNumber = last.next;
                propose(set.value(), true);
            } else {
                begin(Phase.PREPARE);
            }
        }

        private void open(final Phase first) {
            attemptId = nextAttemptId++;
            rounds.put(attemptId, this);
            attempts++;
            phase = first;
            table = voterSet;
            clear();
        }

        void begin(final Phase first) {
            if (phase == Phase.ENDED) {
                return;
            }
            rounds.remove(attemptId);
            final long nowMs = clock.nowMs();
            if (nowMs >= deadlineMs || attempts >= timing.attemptsMax()) {
                end(giveUp("deadline"));
                return;
            }
            open(first);
            highest = ProposalNumber.NONE;
            highestValue = null;
            if (table == null) {
                later(first);
                return;
            }
            final long count = counts.merge(key, 1L, Long::sum);
            proposalNumber = new ProposalNumber(count, by);
            for (final Voter voter : table.voters()) {
                post.send(
                        voter.address(),
                        new ConsensusMessage.Prepare(
                                attemptId,
                                address,
                                table.generation(),
                                table.epoch(),
                                key,
                                proposalNumber,
                                first == Phase.PEEK));
            }
            expire();
        }

        private void clear() {
            yes.clear();
            no.clear();
            seen.clear();
        }

        private void expire() {
            final long id = attemptId;
            final Phase in = phase;
            clock.after(Math.min(timing.roundMs(), Math.max(1, deadlineMs - clock.nowMs())), () -> {
                if (attemptId == id && phase == in) {
                    later(Phase.PREPARE);
                }
            });
        }

        /** Comes back after a jittered wait, so that two proposers don't meet again; one that was outranked leaves the other
         * the time for its second phase first. */
        private void later(final Phase next) {
            rounds.remove(attemptId);
            if (phase == Phase.ENDED) {
                return;
            }
            final long id = attemptId;
            final long spanMs = timing.backoffMs() * Math.min(8, 1L << Math.min(attempts, 3));
            phase = next;
            final long yieldMs = outranked ? 2 * timing.backoffMs() : 0;
            outranked = false;
            clock.after(1 + yieldMs + (long) (random.nextDouble() * spanMs), () -> {
                if (attemptId == id) {
                    begin(next);
                }
            });
        }

        /** Whoever has not taken the value one more round later is missing it. */
        private void awaitTheRest() {
            if (yes.size() == table.voters().size()) {
                return;
            }
            rounds.put(attemptId, this);
            clock.after(timing.roundMs(), () -> {
                rounds.remove(attemptId);
                for (final Voter voter : table.voters()) {
                    if (!yes.contains(voter.name())) {
                        missed.accept(voter.name(), key);
                    }
                }
            });
        }

        private ProposalOutcome giveUp(final String why) {
            return mayHold ? new ProposalOutcome.Indeterminate() : new ProposalOutcome.NotCommitted(why);
        }

        private void end(final ProposalOutcome outcome) {
            rounds.remove(attemptId);
            phase = Phase.ENDED;
            done.accept(outcome);
        }

        private boolean counts(final String acceptor, final String diskId, final ConsensusMessage.Reply reply) {
            final Voter voter = table.voter(acceptor);
            if (voter == null || voterSet != table) {
                if (voterSet != table) {
                    later(Phase.PREPARE);
                }
                return false;
            }
            final boolean good =
                    reply == ConsensusMessage.Reply.OK && voter.diskId().equals(diskId);
            gone |= reply == ConsensusMessage.Reply.PRUNED;
            rejected |= reply == ConsensusMessage.Reply.REJECTED;
            outranked |= reply == ConsensusMessage.Reply.OUTRANKED;
            (good ? yes : no).add(acceptor);
            return true;
        }

        private boolean lost() {
            return no.size() > table.voters().size() - table.majority();
        }

        void promise(final ConsensusMessage.Promise promise) {
            if (phase != Phase.PREPARE && phase != Phase.PEEK
                    || !counts(promise.acceptor(), promise.diskId(), promise.reply())) {
                return;
            }
            if (promise.reply() == ConsensusMessage.Reply.OUTRANKED) {
                counts.merge(key, promise.promised().count() + 1, Math::max);
            }
            if (yes.contains(promise.acceptor()) && promise.reply() == ConsensusMessage.Reply.OK) {
                seen.add(promise.accepted());
                if (promise.accepted().compareTo(highest) > 0) {
                    highest = promise.accepted();
                    highestValue = promise.value();
                }
            }
            if (yes.size() >= table.majority()) {
                promised();
            } else if (lost()) {
                if (gone) {
                    end(mayHold ? new ProposalOutcome.Indeterminate() : new ProposalOutcome.Pruned());
                } else if (rejected) {
                    end(giveUp(DENIED));
                } else {
                    later(Phase.PREPARE);
                }
            }
        }

        private void promised() {
            if (phase == Phase.PEEK) {
                if (seen.size() == 1) {
                    end(new ProposalOutcome.Committed(highestValue, false));
                } else {
                    begin(Phase.PREPARE);
                }
                return;
            }
            if (clock.nowMs() >= deadlineMs) {
                end(giveUp("deadline"));
                return;
            }
            final RegisterEdit wanted = edit.apply(highestValue);
            if (wanted instanceof RegisterEdit.Set set) {
                propose(set.value(), true);
            } else if (seen.size() == 1) {
                end(new ProposalOutcome.Committed(highestValue, false));
            } else {
                propose(highestValue, false);
            }
        }

        private void propose(final byte[] value, final boolean own) {
            proposed = value;
            wrote = own;
            mayHold |= wrote;
            phase = Phase.ACCEPT;
            clear();
            for (final Voter voter : table.voters()) {
                post.send(
                        voter.address(),
                        new ConsensusMessage.Accept(
                                attemptId, address, table.generation(), table.epoch(), key, proposalNumber, proposed));
            }
            expire();
        }

        void accepted(final ConsensusMessage.Accepted accepted) {
            if (phase == Phase.ENDED && accepted.reply() == ConsensusMessage.Reply.OK) {
                yes.add(accepted.acceptor());
            }
            if (phase != Phase.ACCEPT || !counts(accepted.acceptor(), accepted.diskId(), accepted.reply())) {
                return;
            }
            if (accepted.reply() == ConsensusMessage.Reply.OUTRANKED) {
                counts.merge(key, accepted.promised().count() + 1, Math::max);
            }
            if (yes.size() >= table.majority()) {
                held.put(key, new Held(table, proposalNumber.next(), proposed));
                for (final Voter voter : table.voters()) {
                    if (!yes.contains(voter.name())) {
                        post.send(
                                voter.address(),
                                new ConsensusMessage.Chosen(
                                        table.generation(), table.epoch(), key, proposalNumber, proposed));
                    }
                }
                end(new ProposalOutcome.Committed(proposed, wrote));
                awaitTheRest();
            } else if (lost()) {
                if (rejected || gone) {
                    end(giveUp(DENIED));
                } else {
                    later(Phase.PREPARE);
                }
            }
        }
    }
}
