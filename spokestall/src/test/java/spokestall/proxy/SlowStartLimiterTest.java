package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spokestall.configuration.ServiceLimits;
import spokestall.discovery.Upstream;
import spokestall.time.FleetClock;
import spokestall.time.ManualClock;

class SlowStartLimiterTest {
    private static final long WARM_UP_MS = 10_000;
    private static final ServiceLimits SERVICE = new ServiceLimits("s", 1000, 1000, 2000, WARM_UP_MS, 8);
    private final ManualClock clock = new ManualClock(1_000_000);
    private final SlowStartLimiter limiter = limiter(0);

    private SlowStartLimiter limiter(final double slackPerS) {
        return new SlowStartLimiter(
                clock,
                new FleetClock(clock, 250),
                new LoadBalancerParameters.SlowStartLimits(() -> 2, 1, slackPerS, 0));
    }

    private static Upstream upstream(final long readySinceMs, final long warmUpUntilMs) {
        return new Upstream("i", "s", "10.0.0.1:80", "d", "r", readySinceMs, 0, warmUpUntilMs);
    }

    private int acquired(final SlowStartLimiter of, final Upstream upstream, final long durationMs) {
        int acquired = 0;
        for (final long untilMs = clock.nowMs() + durationMs; clock.nowMs() < untilMs; clock.advance(10)) {
            acquired += of.tryAcquire(SERVICE, upstream) ? 1 : 0;
        }
        return acquired;
    }

    @Test
    void theRateOfAnEdgeGrowsWithTheAgeOfTheUpstream() {
        final Upstream upstream = upstream(clock.nowMs(), 0);
        assertThat(acquired(limiter, upstream, WARM_UP_MS / 2))
                .as("5 s at 0 to 2 a second")
                .isBetween(4, 5);
        assertThat(acquired(limiter, upstream, WARM_UP_MS / 2))
                .as("5 s at 2 to 4 a second")
                .isBetween(14, 15);
        assertThat(acquired(limiter, upstream, 1000)).as("without a limit").isEqualTo(100);
    }

    @Test
    void theEndOfTheWarmUpCountsWhereItIsKnown() {
        final Upstream upstream = upstream(0, clock.nowMs() + WARM_UP_MS / 2);
        assertThat(limiter.tryAcquire(SERVICE, upstream)).isFalse();
        clock.advance(WARM_UP_MS / 2);
        assertThat(limiter.tryAcquire(SERVICE, upstream)).isTrue();
    }

    @Test
    void slackIsAddedToTheFullRate() {
        assertThat(acquired(limiter(4), upstream(clock.nowMs(), 0), 5000))
                .as("5 s at 6 a second")
                .isBetween(28, 30);
    }

    @Test
    void aRestartedWarmUpGetsHalfTheRateWhateverTheAge() {
        final Upstream upstream = upstream(0, 0);
        assertThat(limiter.tryAcquire(SERVICE, upstream)).isTrue();
        limiter.restart("i", 5000);
        limiter.restart("i", 1000);
        assertThat(acquired(limiter, upstream, 5000)).as("5 s at 2 a second").isBetween(9, 10);
        assertThat(acquired(limiter, upstream, 1000)).as("without a limit").isEqualTo(100);
    }

    @Test
    void theLimitHoldsForLongerThanTheWarmUpByWhatClocksMayDiffer() {
        final SlowStartLimiter limiterWithClockError = new SlowStartLimiter(
                clock, new FleetClock(clock, 250), new LoadBalancerParameters.SlowStartLimits(() -> 2, 1, 0, 110));
        final Upstream upstream = upstream(0, clock.nowMs() + 1000);
        assertThat(acquired(limiterWithClockError, upstream, 1110))
                .as("at most 4 a second")
                .isBetween(3, 5);
        assertThat(acquired(limiterWithClockError, upstream, 100))
                .as("without a limit")
                .isEqualTo(10);
    }
}
