package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class AttemptBudgetTest {
    private static RetryBudget budget(final int retries) {
        return new RetryBudget(() -> 0, () -> retries);
    }

    private static int goes(final boolean unsentFree, final int most, final RetryBudget budget, final boolean arrives) {
        final AttemptBudget goes = new AttemptBudget(unsentFree);
        do {
            assertThat(goes.begin()).isEqualTo(goes.begun() == 1);
            goes.ended(arrives);
        } while (goes.again(most, budget));
        return goes.begun();
    }

    @Test
    void eachFurtherGoIsARetryWhetherOrNotTheOneBeforeWasSent() {
        final RetryBudget two = budget(2);
        assertThat(goes(false, 9, two, false)).isEqualTo(3);
        assertThat(goes(false, 9, two, false)).as("the budget is spent").isEqualTo(1);
        assertThat(goes(false, 9, budget(2), true)).isEqualTo(3);
    }

    @Test
    void eachGoCountsAgainstTheMostWhetherOrNotItWasSent() {
        assertThat(goes(false, 3, budget(100), false)).isEqualTo(3);
        assertThat(goes(false, 3, budget(100), true)).isEqualTo(3);
    }

    @Test
    void whatWasNeverSentIsFreeOnlyWhereThatIsTheHabitAndNotWithoutEnd() {
        assertThat(goes(true, 3, budget(0), false)).isEqualTo(AttemptBudget.MOST);
        assertThat(goes(true, 9, budget(2), true)).isEqualTo(3);
        assertThat(goes(true, 3, budget(100), true)).isEqualTo(3);
    }

    @Test
    void aGoBesideOneThatIsUnderWayIsAlwaysPaidForAndCounted() {
        final RetryBudget one = budget(1);
        final AttemptBudget goes = new AttemptBudget(true);
        goes.begin();
        assertThat(goes.again(2, one)).isTrue();
        goes.begin();
        assertThat(goes.open()).isEqualTo(2);
        assertThat(goes.again(2, budget(100))).as("both may arrive").isFalse();
        assertThat(goes.again(9, one)).as("nothing is left to pay for it").isFalse();
        goes.ended(true);
        goes.ended(true);
        assertThat(goes.open()).isZero();
    }

    @Test
    void aGoAfterOneThatMayHaveArrivedIsPaidForAlsoWhereUnsentOnesAreFree() {
        final RetryBudget one = budget(1);
        final AttemptBudget goes = new AttemptBudget(true);
        goes.begin();
        goes.ended(false);
        assertThat(goes.again(3, one)).isTrue();
        goes.begin();
        goes.ended(true);
        assertThat(goes.again(3, one)).isTrue();
        goes.begin();
        goes.ended(true);
        assertThat(goes.again(3, one)).as("nothing is left to pay for it").isFalse();
    }
}
