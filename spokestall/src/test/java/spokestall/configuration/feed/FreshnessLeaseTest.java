package spokestall.configuration.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.time.EventClock;

class FreshnessLeaseTest {
    private static final long LEASE_MS = 600;
    private static final int OPEN_ROUNDS_MAX = 4;
    private static final long APPLIED = 17;
    private static final VoterSet VOTER_SET = voterSet(1);
    private final EventClock clock = new EventClock(1_000_000);
    private final List<Long> sentRounds = new ArrayList<>();
    private final List<Boolean> results = new ArrayList<>();
    private final FreshnessLease lease =
            new FreshnessLease(clock, new FreshnessLease.Timings(LEASE_MS, OPEN_ROUNDS_MAX), this::sendRound);

    private static VoterSet voterSet(final long epoch) {
        return new VoterSet(
                1, epoch, List.of(new Voter("a", "a", "d-a"), new Voter("b", "b", "d-b"), new Voter("c", "c", "d-c")));
    }

    private void advance(final long spanMs) {
        clock.runUntil(clock.nowMs() + spanMs, () -> {});
    }

    private void sendRound() {
        final long requestId = sentRounds.size() + 1L;
        sentRounds.add(clock.nowMs());
        lease.onRoundSent(requestId, VOTER_SET);
    }

    private void answer(final long requestId, final String voterName, final long newestVersion) {
        lease.onAnswer(requestId, VOTER_SET, voterName, newestVersion);
        lease.renew(VOTER_SET, APPLIED);
    }

    @Test
    void isNotFreshBeforeTheFirstConfirmation() {
        assertThat(lease.isFresh()).isFalse();
        sendRound();
        answer(1, "a", APPLIED);
        assertThat(lease.isFresh()).as("one of three voters is not a majority").isFalse();
    }

    @Test
    void leaseStartsWhenTheRoundIsSent() {
        sendRound();
        advance(100);
        answer(1, "a", APPLIED);
        answer(1, "b", APPLIED);
        assertThat(lease.ageMs()).isEqualTo(100);
        advance(LEASE_MS - 100);
        assertThat(lease.isFresh()).isTrue();
        assertThat(lease.expiresMs()).isEqualTo(clock.nowMs());
        advance(1);
        assertThat(lease.isFresh()).isFalse();
    }

    @Test
    void repeatedAnswersOfOneVoterCountOnce() {
        sendRound();
        answer(1, "a", APPLIED);
        answer(1, "a", APPLIED);
        assertThat(lease.isFresh()).isFalse();
    }

    @Test
    void answersToDifferentRoundsAreCountedSeparately() {
        sendRound();
        sendRound();
        answer(1, "a", APPLIED);
        answer(2, "b", APPLIED);
        assertThat(lease.isFresh()).isFalse();
    }

    @Test
    void acceptedVersionThatIsNotAppliedPreventsConfirmation() {
        sendRound();
        answer(1, "a", APPLIED);
        answer(1, "b", APPLIED + 1);
        assertThat(lease.isFresh()).isFalse();
        lease.renew(VOTER_SET, APPLIED + 1);
        assertThat(lease.isFresh()).isTrue();
    }

    @Test
    void answersFromAnotherVoterSetAreIgnored() {
        final VoterSet later = voterSet(2);
        sendRound();
        lease.onAnswer(1, later, "a", APPLIED);
        lease.onAnswer(1, later, "b", APPLIED);
        lease.renew(later, APPLIED);
        lease.renew(VOTER_SET, APPLIED);
        assertThat(lease.isFresh()).isFalse();
        answer(1, "a", APPLIED);
        lease.onAnswer(1, VOTER_SET, "b", APPLIED);
        lease.renew(later, APPLIED);
        assertThat(lease.isFresh())
                .as("the round was sent to the previous voter set")
                .isFalse();
    }

    @Test
    void oldestRoundIsDroppedBeyondTheLimit() {
        for (int i = 0; i <= OPEN_ROUNDS_MAX; i++) {
            sendRound();
        }
        answer(1, "a", APPLIED);
        answer(1, "b", APPLIED);
        assertThat(lease.isFresh()).isFalse();
        answer(2, "a", APPLIED);
        answer(2, "b", APPLIED);
        assertThat(lease.isFresh()).isTrue();
    }

    @Test
    void lateAnswerToAnOlderRoundDoesNotShortenTheLease() {
        sendRound();
        advance(10);
        sendRound();
        answer(2, "a", APPLIED);
        answer(2, "b", APPLIED);
        answer(1, "a", APPLIED);
        answer(1, "b", APPLIED);
        assertThat(lease.ageMs()).isZero();
    }

    @Test
    void waiterIsNotConfirmedByARoundSentBeforeItsCall() {
        sendRound();
        advance(1);
        lease.awaitConfirmation(1000, results::add);
        answer(1, "a", APPLIED);
        answer(1, "b", APPLIED);
        assertThat(lease.isFresh()).isTrue();
        assertThat(results).isEmpty();
        answer(2, "b", APPLIED);
        answer(2, "c", APPLIED);
        assertThat(results).containsExactly(true);
        advance(2000);
        assertThat(results).as("the timeout after the result has no effect").containsExactly(true);
    }

    @Test
    void waiterRepeatsRoundsUntilItTimesOut() {
        final long timeoutMillis = 250;
        lease.awaitConfirmation(timeoutMillis, results::add);
        advance(1000);
        final long startMs = sentRounds.get(0);
        assertThat(sentRounds).containsExactly(startMs, startMs + 100, startMs + 200);
        assertThat(results).containsExactly(false);
    }

    @Test
    void waitFailsImmediatelyWithoutTimeOrWithTooManyWaiters() {
        lease.awaitConfirmation(0, results::add);
        assertThat(results).containsExactly(false);
        assertThat(sentRounds).isEmpty();
        for (int i = 0; i < 256; i++) {
            lease.awaitConfirmation(1000, confirmed -> {});
        }
        lease.awaitConfirmation(1000, results::add);
        assertThat(results).containsExactly(false, false);
        assertThat(sentRounds).hasSize(256);
    }
}
