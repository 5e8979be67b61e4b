package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AttemptBudgetTest {
    private static RetryBudget budget(final int retries) {
        return new RetryBudget(() -> 0, () -> retries);
    }

    private static int attempts(
            final boolean unsentFree, final int most, final RetryBudget budget, final boolean arrives) {
        final AttemptBudget attempts = new AttemptBudget(unsentFree);
        do {
            assertThat(attempts.begin()).isEqualTo(attempts.begun() == 1);
            attempts.ended(arrives);
        } while (attempts.again(most, budget));
        return attempts.begun();
    }

    @Test
    void eachFurtherGoIsARetryWhetherOrNotTheOneBeforeWasSent() {
        final RetryBudget two = budget(2);
        assertThat(attempts(false, 9, two, false)).isEqualTo(3);
        assertThat(attempts(false, 9, two, false)).as("the budget is spent").isEqualTo(1);
        assertThat(attempts(false, 9, budget(2), true)).isEqualTo(3);
    }

    @Test
    void eachGoCountsAgainstTheMostWhetherOrNotItWasSent() {
        assertThat(attempts(false, 3, budget(100), false)).isEqualTo(3);
        assertThat(attempts(false, 3, budget(100), true)).isEqualTo(3);
    }

    @Test
    void whatWasNeverSentIsFreeOnlyWhereThatIsTheHabitAndNotWithoutEnd() {
        assertThat(attempts(true, 3, budget(0), false)).isEqualTo(AttemptBudget.MOST);
        assertThat(attempts(true, 9, budget(2), true)).isEqualTo(3);
        assertThat(attempts(true, 3, budget(100), true)).isEqualTo(3);
    }

    @Test
    void aGoBesideOneThatIsUnderWayIsAlwaysPaidForAndCounted() {
        final RetryBudget one = budget(1);
        final AttemptBudget attempts = new AttemptBudget(true);
        attempts.begin();
        assertThat(attempts.again(2, one)).isTrue();
        attempts.begin();
        assertThat(attempts.open()).isEqualTo(2);
        assertThat(attempts.again(2, budget(100))).as("both may arrive").isFalse();
        assertThat(attempts.again(9, one)).as("nothing is left to pay for it").isFalse();
        attempts.ended(true);
        attempts.ended(true);
        assertThat(attempts.open()).isZero();
    }

    @Test
    void aGoAfterOneThatMayHaveArrivedIsPaidForAlsoWhereUnsentOnesAreFree() {
        final RetryBudget one = budget(1);
        final AttemptBudget attempts = new AttemptBudget(true);
        attempts.begin();
        attempts.ended(false);
        assertThat(attempts.again(3, one)).isTrue();
        attempts.begin();
        attempts.ended(true);
        assertThat(attempts.again(3, one)).isTrue();
        attempts.begin();
        attempts.ended(true);
        assertThat(attempts.again(3, one)).as("nothing is left to pay for it").isFalse();
    }
}
