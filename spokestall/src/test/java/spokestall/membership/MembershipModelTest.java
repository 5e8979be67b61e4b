package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Runs {@link MembershipModelRun} with several seeds, without and with an injected fault. */
class MembershipModelTest {
    private static final int SEEDS = Integer.getInteger("seeds", 12);
    private static final int FAULTY_SEEDS = 4;
    private static final int CONFIRMED_WRITES_PER_SEED_MIN = 150;
    private static final int COPIES_WHEN_SETTLED_MIN = 3;

    @Test
    void confirmedWritesSurviveEveryToleratedLoss() {
        int confirmed = 0;
        int fewestCopies = Integer.MAX_VALUE;
        for (int seed = 0; seed < SEEDS; seed++) {
            final MembershipModelRun.Summary summary = new MembershipModelRun(seed, fleet -> {}).run();
            confirmed += summary.confirmed();
            fewestCopies = Math.min(fewestCopies, summary.fewestCopies());
            assertThat(summary.fewestCopiesWhenSettled())
                    .as("copies after settling, seed " + seed)
                    .isGreaterThanOrEqualTo(COPIES_WHEN_SETTLED_MIN);
        }
        assertThat(confirmed).isGreaterThan(SEEDS * CONFIRMED_WRITES_PER_SEED_MIN);
        assertThat(fewestCopies).isPositive();
        System.out.printf(
                "%d seeds, %d confirmed values, at least %d copies of each%n", SEEDS, confirmed, fewestCopies);
    }

    @Test
    void detectsAJoinerThatVotesBeforeItHasCaughtUp() {
        int detected = 0;
        for (int seed = 0; seed < FAULTY_SEEDS; seed++) {
            try {
                new MembershipModelRun(seed, fleet -> fleet.injectEmptyCatchUp = true).run();
            } catch (final AssertionError e) {
                detected++;
            }
        }
        assertThat(detected).isPositive();
    }
}
