package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AttemptBudgetTest {
    private static RetryBudget budget(final int retries) {
        return new RetryBudget(() -> 0, () -> retries);
    }

    private static int attempts(
            final boolean unsentFree, final int attemptsMax, final RetryBudget budget, final boolean sent) {
        final AttemptBudget attempts = new AttemptBudget(unsentFree);
        do {
            assertThat(attempts.onStarted()).isEqualTo(attempts.started() == 1);
            attempts.ended(sent);
        } while (attempts.tryAcquire(attemptsMax, budget));
        return attempts.started();
    }

    @Test
    void countsUnsentAttemptsAsRetriesByDefault() {
        final RetryBudget two = budget(2);
        assertThat(attempts(false, 9, two, false)).isEqualTo(3);
        assertThat(attempts(false, 9, two, false))
                .as("the retry budget is exhausted")
                .isEqualTo(1);
        assertThat(attempts(false, 9, budget(2), true)).isEqualTo(3);
    }

    @Test
    void countsUnsentAttemptsAgainstTheMaximumByDefault() {
        assertThat(attempts(false, 3, budget(100), false)).isEqualTo(3);
        assertThat(attempts(false, 3, budget(100), true)).isEqualTo(3);
    }

    @Test
    void unsentAttemptsAreFreeUpToAFixedMaximumWhenConfigured() {
        assertThat(attempts(true, 3, budget(0), false)).isEqualTo(AttemptBudget.MAX_ATTEMPTS);
        assertThat(attempts(true, 9, budget(2), true)).isEqualTo(3);
        assertThat(attempts(true, 3, budget(100), true)).isEqualTo(3);
    }

    @Test
    void hedgedAttemptsAlwaysCountAndUseTheRetryBudget() {
        final RetryBudget one = budget(1);
        final AttemptBudget attempts = new AttemptBudget(true);
        attempts.onStarted();
        assertThat(attempts.tryAcquire(2, one)).isTrue();
        attempts.onStarted();
        assertThat(attempts.inFlight()).isEqualTo(2);
        assertThat(attempts.tryAcquire(2, budget(100)))
                .as("both attempts count, because both may arrive")
                .isFalse();
        assertThat(attempts.tryAcquire(9, one))
                .as("the retry budget is exhausted")
                .isFalse();
        attempts.ended(true);
        attempts.ended(true);
        assertThat(attempts.inFlight()).isZero();
    }

    @Test
    void retryAfterASentAttemptUsesTheBudgetEvenIfUnsentAttemptsAreFree() {
        final RetryBudget one = budget(1);
        final AttemptBudget attempts = new AttemptBudget(true);
        attempts.onStarted();
        attempts.ended(false);
        assertThat(attempts.tryAcquire(3, one)).isTrue();
        attempts.onStarted();
        attempts.ended(true);
        assertThat(attempts.tryAcquire(3, one)).isTrue();
        attempts.onStarted();
        attempts.ended(true);
        assertThat(attempts.tryAcquire(3, one))
                .as("the retry budget is exhausted")
                .isFalse();
    }
}
