package spokestall.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
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

    /** Returns the limiter of the first of two edges. */
    private SlowStartLimiter limiter(final double slackPerS) {
        return limiter(2, 0, slackPerS, 0);
    }

    private SlowStartLimiter limiter(final int edges, final int rank, final double slackPerS, final long clockErrorMs) {
        return new SlowStartLimiter(
                clock,
                new FleetClock(clock, 250),
                new Random(rank),
                new LoadBalancerParameters.SlowStartLimits(
                        new FixedEdgeShares(edges, rank), 1, slackPerS, clockErrorMs));
    }

    private List<SlowStartLimiter> allEdges(final int edges, final double slackPerS) {
        final List<SlowStartLimiter> all = new ArrayList<>();
        for (int rank = 0; rank < edges; rank++) {
            all.add(limiter(edges, rank, slackPerS, 0));
        }
        return all;
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
    void totalRateFollowsTheRampInAnySecond() {
        for (final int edges : new int[] {1, 2, 5, 30}) {
            final Upstream upstream = upstream(clock.nowMs(), 0);
            final long startedMs = clock.nowMs();
            final List<Long> sentMs = sentByAll(allEdges(edges, 0), upstream, WARM_UP_MS);
            for (final long fromMs : sentMs) {
                final double rampPerS = SERVICE.slowStartPerSecond() * (fromMs + 1000 - startedMs) / WARM_UP_MS;
                assertThat(sentMs.stream().filter(ms -> ms >= fromMs && ms < fromMs + 1000))
                        .as("%s edges, attempts in the second from %s", edges, fromMs - startedMs)
                        .hasSizeLessThanOrEqualTo((int) Math.max(1, rampPerS));
            }
            assertThat(sentMs).as("attempts out of 40 that the ramp allows").hasSizeBetween(28, 40);
        }
    }

    @Test
    void totalRateStaysWithinTheBoundInAnySecondAndUsesIt() {
        for (final int edges : new int[] {1, 3, 5, 7, 11, 12, 13, 40, 91}) {
            final List<Long> sentMs = sentByAll(allEdges(edges, 4), upstream(clock.nowMs(), 0), WARM_UP_MS);
            for (final long fromMs : sentMs) {
                assertThat(sentMs.stream().filter(ms -> ms >= fromMs && ms < fromMs + 1000))
                        .as("%s edges", edges)
                        .hasSizeLessThanOrEqualTo(12);
            }
            assertThat(sentMs).as("attempts out of 120 that the bound allows").hasSizeGreaterThan(100);
        }
    }

    @Test
    void firstAttemptsOfTheEdgesAreSpreadOverTime() {
        final List<Long> sentMs = sentByAll(allEdges(12, 4), upstream(clock.nowMs(), 0), 1000);
        assertThat(sentMs.stream().distinct().count()).isGreaterThan(6);
    }

    private List<Long> sentByAll(final List<SlowStartLimiter> edges, final Upstream upstream, final long durationMs) {
        final List<Long> sentMs = new ArrayList<>();
        for (final long untilMs = clock.nowMs() + durationMs; clock.nowMs() < untilMs; clock.advance(10)) {
            for (final SlowStartLimiter edge : edges) {
                if (edge.tryAcquire(SERVICE, upstream)) {
                    sentMs.add(clock.nowMs());
                }
            }
        }
        return sentMs;
    }

    @Test
    void knownWarmUpEndTakesPrecedenceOverReadyTime() {
        final Upstream upstream = upstream(0, clock.nowMs() + WARM_UP_MS / 2);
        assertThat(limiter.tryAcquire(SERVICE, upstream)).isFalse();
        clock.advance(WARM_UP_MS / 2);
        assertThat(limiter.tryAcquire(SERVICE, upstream)).isTrue();
    }

    @Test
    void slackIsAddedToTheFullRate() {
        assertThat(acquired(limiter(4), upstream(clock.nowMs(), 0), 5000))
                .as("attempts in 5 s at 6 per second, after an initial delay of up to 1 s")
                .isBetween(24, 30);
    }

    @Test
    void restartedSlowStartGetsHalfTheRateAtAnyAge() {
        final Upstream upstream = upstream(0, 0);
        assertThat(limiter.tryAcquire(SERVICE, upstream)).isTrue();
        limiter.restart("i", 5000);
        limiter.restart("i", 1000);
        assertThat(acquired(limiter, upstream, 5000))
                .as("attempts in 5 s at 2 per second")
                .isBetween(8, 10);
        assertThat(acquired(limiter, upstream, 1000)).as("unlimited").isEqualTo(100);
    }

    @Test
    void limitOutlastsTheWarmUpByTheClockError() {
        final SlowStartLimiter limiterWithClockError = limiter(2, 0, 0, 110);
        final Upstream upstream = upstream(0, clock.nowMs() + 1000);
        assertThat(acquired(limiterWithClockError, upstream, 1110))
                .as("attempts at 4 per second")
                .isBetween(3, 5);
        assertThat(acquired(limiterWithClockError, upstream, 100))
                .as("unlimited")
                .isEqualTo(10);
    }
}
