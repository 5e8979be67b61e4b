package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.message.Message;
import spokestall.time.EventClock;

/** Outcomes of proposals and reads: their total order despite message and power loss, and single protocol phases. */
class ProposerTest {
    private static final String KEY = "count";
    private static final byte[] VALUE = {1};
    private static final long TIMEOUT_MILLIS = 1000;
    private static final Proposer.Timing TIMING = new Proposer.Timing(100, 10, 64);
    private static final VoterSet VOTERS = new VoterSet(
            1, 1, List.of(new Voter("v0", "v0", "d0"), new Voter("v1", "v1", "d1"), new Voter("v2", "v2", "d2")));

    /** A simulated run in which proposers increment a register, and the outcomes that proposers and readers received. */
    private static final class Counter {
        private static final int PROPOSERS = 4;
        private static final int CHANGES_PER_PROPOSER = 8;
        private final ConsensusTestContext context;
        private final List<String> committed = new ArrayList<>();
        private long newestNumber;
        private long committedChanges;
        private long otherOutcomes;

        Counter(final long seed) {
            context = new ConsensusTestContext(seed, 0.15);
        }

        private static long number(final byte[] value) {
            return value == null ? 0 : Long.parseLong(text(value).split(" ")[0]);
        }

        private static String text(final byte[] value) {
            return new String(value, StandardCharsets.UTF_8);
        }

        void run() {
            for (int p = 0; p < PROPOSERS; p++) {
                final Proposer proposer = context.proposer("p" + p);
                for (int i = 0; i < CHANGES_PER_PROPOSER; i++) {
                    final String changeId = "p" + p + "." + i;
                    context.clock.after(context.random.nextInt(6000), () -> increment(proposer, changeId));
                    context.clock.after(context.random.nextInt(9000), () -> read(proposer));
                }
            }
            for (int i = 0; i < 20; i++) {
                context.clock.after(context.random.nextInt(8000), () -> context.powerCycle(context.random.nextInt(6)));
            }
            context.run(20_000);
        }

        private void increment(final Proposer proposer, final String changeId) {
            final long newestBefore = newestNumber;
            proposer.propose(KEY, 4000, current -> next(current, changeId), outcome -> {
                if (outcome instanceof ProposalOutcome.Committed c && c.wrote()) {
                    committedChanges++;
                    assertThat(number(c.value())).isGreaterThan(newestBefore);
                    committed.add(text(c.value()));
                    newestNumber = Math.max(newestNumber, number(c.value()));
                } else {
                    otherOutcomes++;
                }
            });
        }

        /** Returns the incremented value, or the current one if an earlier attempt of this change has already set it. */
        private static RegisterEdit next(final byte[] current, final String changeId) {
            final boolean own = current != null && text(current).endsWith(" " + changeId);
            return new RegisterEdit.Set(
                    own ? current : (number(current) + 1 + " " + changeId).getBytes(StandardCharsets.UTF_8));
        }

        private void read(final Proposer proposer) {
            final long newestBefore = newestNumber;
            proposer.read(KEY, 3000, outcome -> {
                if (outcome instanceof ProposalOutcome.Committed c) {
                    assertThat(number(c.value()))
                            .as("value of a read that started after the commit")
                            .isGreaterThanOrEqualTo(newestBefore);
                    newestNumber = Math.max(newestNumber, number(c.value()));
                }
            });
        }
    }

    /**
     * Checks that every committed change is visible to all later changes and reads, and that no change is lost or applied twice.
     */
    @Test
    void changesOfARegisterAreTotallyOrderedDespiteMessageAndPowerLoss() {
        long committedChanges = 0;
        long otherOutcomes = 0;
        for (int seed = 0; seed < 40; seed++) {
            final Counter counter = new Counter(seed);
            counter.run();
            assertThat(counter.committed)
                    .as("numbers of committed changes")
                    .extracting(value -> value.split(" ")[0])
                    .doesNotHaveDuplicates();
            committedChanges += counter.committedChanges;
            otherOutcomes += counter.otherOutcomes;
        }
        assertThat(committedChanges).isGreaterThan(800);
        assertThat(committedChanges + otherOutcomes).isEqualTo(40 * 32);
    }

    private final EventClock clock = new EventClock(0);
    private final List<Message> sent = new ArrayList<>();
    private final List<String> missedVoters = new ArrayList<>();
    private final List<ProposalOutcome> outcomes = new ArrayList<>();
    private final Proposer proposer = new Proposer(
            "p#1",
            "p",
            (to, message) -> sent.add(message),
            clock,
            new Random(1),
            TIMING,
            (voter, key) -> missedVoters.add(voter));

    private void proposeValue() {
        proposer.propose(KEY, TIMEOUT_MILLIS, current -> new RegisterEdit.Set(VALUE), outcomes::add);
    }

    /** Replies to the last request sent, on behalf of a voter that has not accepted any value before. */
    private void reply(final int voter, final ConsensusMessage.Reply reply) {
        final String name = "v" + voter;
        final String diskId = "d" + voter;
        final Message request = sent.get(sent.size() - 1);
        if (request instanceof ConsensusMessage.Prepare prepare) {
            proposer.onMessage(new ConsensusMessage.Promise(
                    prepare.attemptId(), name, diskId, reply, prepare.proposalNumber(), ProposalNumber.NONE, null));
        } else if (request instanceof ConsensusMessage.Accept accept) {
            proposer.onMessage(
                    new ConsensusMessage.Accepted(accept.attemptId(), name, diskId, reply, accept.proposalNumber()));
        }
    }

    private void commit() {
        proposeValue();
        reply(0, ConsensusMessage.Reply.OK);
        reply(1, ConsensusMessage.Reply.OK);
        assertThat(sent).last().isInstanceOf(ConsensusMessage.Accept.class);
        reply(0, ConsensusMessage.Reply.OK);
        reply(1, ConsensusMessage.Reply.OK);
    }

    @Test
    void aSecondChangeByTheSameProposerSkipsThePreparePhase() {
        proposer.updateVoterSet(VOTERS);
        commit();
        assertThat(outcomes).singleElement().isEqualTo(new ProposalOutcome.Committed(VALUE, true));
        sent.clear();
        proposeValue();
        assertThat(sent).hasSize(3).allMatch(message -> message instanceof ConsensusMessage.Accept);
    }

    @Test
    void aVoterThatDoesNotAcknowledgeAChosenValueWithinTheAttemptTimeoutIsReported() {
        proposer.updateVoterSet(VOTERS);
        commit();
        assertThat(sent).last().isInstanceOf(ConsensusMessage.Chosen.class);
        clock.runUntil(TIMING.attemptTimeoutMillis() - 1, () -> {});
        assertThat(missedVoters).isEmpty();
        clock.runUntil(TIMING.attemptTimeoutMillis(), () -> {});
        assertThat(missedVoters).containsExactly("v2");
        assertThat(proposer.attemptsInFlight()).isZero();
    }

    @Test
    void aProposalIsNotCommittedIfAMajorityRejectsItsPrepare() {
        proposer.updateVoterSet(VOTERS);
        proposeValue();
        reply(0, ConsensusMessage.Reply.REJECTED);
        assertThat(outcomes).isEmpty();
        reply(1, ConsensusMessage.Reply.REJECTED);
        assertThat(outcomes).containsExactly(new ProposalOutcome.NotCommitted(ProposalOutcome.Reason.REJECTED));
    }

    @Test
    void aProposalEndsAsPrunedIfAMajorityHasPrunedTheRegister() {
        proposer.updateVoterSet(VOTERS);
        proposeValue();
        reply(0, ConsensusMessage.Reply.PRUNED);
        reply(1, ConsensusMessage.Reply.PRUNED);
        assertThat(outcomes).containsExactly(new ProposalOutcome.Pruned());
    }

    @Test
    void aProposalWithoutAVoterSetEndsAsNotCommittedAtItsDeadline() {
        proposeValue();
        clock.runAll();
        assertThat(sent).isEmpty();
        assertThat(outcomes)
                .containsExactly(new ProposalOutcome.NotCommitted(ProposalOutcome.Reason.NO_MAJORITY_IN_TIME));
    }

    @Test
    void aProposalIsIndeterminateIfItsValueIsSentButNotAcceptedInTime() {
        proposer.updateVoterSet(VOTERS);
        proposeValue();
        reply(0, ConsensusMessage.Reply.OK);
        reply(1, ConsensusMessage.Reply.OK);
        assertThat(sent).last().isInstanceOf(ConsensusMessage.Accept.class);
        clock.runAll();
        assertThat(outcomes).containsExactly(new ProposalOutcome.Indeterminate());
    }

    @Test
    void aReplyFromADiskWithoutTheVoterSlotIsNotCounted() {
        proposer.updateVoterSet(VOTERS);
        proposeValue();
        final ConsensusMessage.Prepare prepare = (ConsensusMessage.Prepare) sent.get(0);
        reply(0, ConsensusMessage.Reply.OK);
        proposer.onMessage(new ConsensusMessage.Promise(
                prepare.attemptId(),
                "v1",
                "another-disk",
                ConsensusMessage.Reply.OK,
                prepare.proposalNumber(),
                ProposalNumber.NONE,
                null));
        assertThat(sent).allMatch(message -> message instanceof ConsensusMessage.Prepare);
    }
}
