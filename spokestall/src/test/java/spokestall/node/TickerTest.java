package spokestall.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.time.EventClock;

class TickerTest {
    private static final long START_MS = 1_000;
    private static final long PERIOD_MS = 100;
    private final EventClock clock = new EventClock(START_MS);
    private final Ticker ticker = new Ticker(clock, new Random(7));
    private final List<Long> ticksMs = new ArrayList<>();

    @Test
    void firstTickIsWithinOnePeriodAndLaterTicksAreOnePeriodApart() {
        ticker.every(PERIOD_MS, () -> ticksMs.add(clock.nowMs()));
        clock.runUntil(START_MS + 10 * PERIOD_MS, () -> {});
        assertThat(ticksMs).hasSize(10);
        assertThat(ticksMs.get(0)).isBetween(START_MS + 1, START_MS + PERIOD_MS);
        for (int i = 1; i < ticksMs.size(); i++) {
            assertThat(ticksMs.get(i) - ticksMs.get(i - 1)).isEqualTo(PERIOD_MS);
        }
    }

    @Test
    void noTaskRunsAfterStop() {
        ticker.every(PERIOD_MS, () -> {
            ticksMs.add(clock.nowMs());
            ticker.stop();
        });
        ticker.every(PERIOD_MS, () -> ticksMs.add(clock.nowMs()));
        clock.runAll();
        assertThat(ticker.stopped()).isTrue();
        assertThat(ticksMs).hasSizeBetween(1, 2);
    }

    @Test
    void aTaskThatThrowsRunsAgain() {
        ticker.every(PERIOD_MS, () -> {
            ticksMs.add(clock.nowMs());
            throw new IllegalStateException("a fault in the task");
        });
        for (int i = 0; i < 2; i++) {
            assertThatThrownBy(() -> clock.runUntil(START_MS + 10 * PERIOD_MS, () -> {}))
                    .hasMessage("a fault in the task");
        }
        assertThat(ticksMs).hasSize(2);
    }
}
