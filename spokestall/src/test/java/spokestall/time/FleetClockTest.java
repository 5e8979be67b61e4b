package spokestall.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class FleetClockTest {
    @Test
    void settlesWithOneSettledPeerAndEnoughOthers() {
        final FleetClock fleetClock = new FleetClock(new ManualClock(0, 50_000), 100);
        fleetClock.onPeerReading("s", 70_000, true, 0);
        fleetClock.onPeerReading("b", 70_010, false, 0);
        fleetClock.onPeerReading("c", 69_990, false, 0);
        assertThat(fleetClock.settled()).isTrue();
        assertThat(fleetClock.nowMs()).isBetween(69_990L, 70_010L);
    }

    @Test
    void aSingleJumpedClockDoesNotMoveTheFleetTime() {
        final Random random = new Random(7);
        for (int run = 0; run < 200; run++) {
            final long trueMs = 1_000_000_000L;
            final int jumped = random.nextInt(6);
            final long jumpMs = (random.nextBoolean() ? 1 : -1) * (3_600_000L + random.nextInt(100_000_000));
            final long calendarMs = trueMs + (jumped == 0 ? jumpMs : random.nextInt(20));
            final FleetClock fleetClock = new FleetClock(new ManualClock(0, calendarMs), 100);
            for (int peer = 1; peer < 6; peer++) {
                fleetClock.onPeerReading("p" + peer, trueMs + (jumped == peer ? jumpMs : random.nextInt(20)), false, 0);
            }
            assertThat(fleetClock.nowMs()).isBetween(trueMs, trueMs + 20);
        }
    }

    /** A reply that arrives while this machine is suspended waits for it; the reading is then off by half of that wait. */
    @Test
    void aDelayedReadingDoesNotReplaceAnEarlierOne() {
        final ManualClock clock = new ManualClock(0, 50_000);
        final FleetClock fleetClock = new FleetClock(clock, 100);
        for (final String peer : List.of("a", "b", "c")) {
            fleetClock.onPeerReading(peer, 50_000, true, 0);
        }
        clock.advance(6500);
        for (final String peer : List.of("a", "b", "c")) {
            fleetClock.onPeerReading(peer, 50_010, true, 0);
            fleetClock.onPeerReading(peer, 50_010, false, 0);
        }
        assertThat(fleetClock.nowMs()).isBetween(56_400L, 56_600L);
    }

    /** On a link where every reading is delayed, an inaccurate reading is better than none. */
    @Test
    void theFirstReadingOfAPeerCountsEvenIfItIsDelayed() {
        final FleetClock fleetClock = new FleetClock(new ManualClock(400, 10_000), 100);
        fleetClock.onPeerReading("a", 50_000, true, 0);
        fleetClock.onPeerReading("b", 50_000, true, 0);
        assertThat(fleetClock.settled()).isTrue();
        assertThat(fleetClock.nowMs()).isBetween(49_900L, 50_400L);
    }
}
