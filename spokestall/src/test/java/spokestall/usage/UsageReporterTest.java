package spokestall.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.consensus.ConsensusTestContext;
import spokestall.lease.LeaseSession;
import spokestall.message.Message;
import spokestall.time.FleetClock;

class UsageReporterTest {
    private static final long WINDOW_MS = 5000;
    private static final long DUE_MS = 10_000;
    private static final UsageReporter.Timing TIMING =
            new UsageReporter.Timing(WINDOW_MS, 1500, 5000, 300, DUE_MS, 800, 800, 10);
    private static final List<String> CORES = List.of("v0", "v1", "v2", "v3", "v4", "v5");

    private record Call(long window, long atMs, long waitMs, Consumer<Boolean> done) {}

    private final ConsensusTestContext bench = new ConsensusTestContext(1, 0);
    private final FleetClock fleet = new FleetClock(bench.clock, 100);
    private final List<Call> calls = new ArrayList<>();
    private final UsageTable configurationStore = new UsageTable(() -> fleet.nowMs() / WINDOW_MS, 16);
    private final UsageReporter reporter = new UsageReporter(
            "k",
            "k",
            configurationStore,
            bench.proposer("k"),
            (holder, token, window, waitMs, until, done) ->
                    calls.add(new Call(window.window(), bench.clock.nowMs(), waitMs, done)),
            this::answer,
            bench.clock,
            fleet,
            TIMING,
            () -> CORES,
            () -> 0,
            edge -> null);

    private void answer(final String core, final Message message) {
        final UsageMessage.CountsRequest ask = (UsageMessage.CountsRequest) message;
        bench.clock.after(5, () -> reporter.hear(new UsageMessage.CountsResponse(core, ask.window(), List.of())));
    }

    private void beginAt(final long ms) {
        bench.run(ms);
        reporter.onSessionStarted(new LeaseSession("s1", "k/1", 7, ms + 20_000, ms + 600_000));
    }

    private void beatsUntil(final long ms) {
        while (bench.clock.nowMs() < ms) {
            reporter.tick();
            bench.run(bench.clock.nowMs() + 20);
        }
    }

    /** Who takes over late sends what is due at once, and waits for the answer no longer than it counts. */
    @Test
    void aHolderThatTakesOverLateSendsWhatCanStillArriveInTime() {
        beginAt(49_200);
        beatsUntil(50_000);
        assertThat(calls).extracting(Call::window).containsExactlyInAnyOrder(7L, 8L);
        assertThat(calls)
                .allSatisfy(
                        c -> assertThat(c.atMs + c.waitMs).isLessThanOrEqualTo((c.window + 1) * WINDOW_MS + DUE_MS));
    }

    @Test
    void aWindowThatCanNoLongerArriveInTimeIsNotSent() {
        beginAt(49_700);
        beatsUntil(50_400);
        assertThat(calls).extracting(Call::window).containsExactly(8L);
        assertThat(reporter.missed()).isEqualTo(1);
    }

    /** A call that is open, or ended with no good answer, may still arrive. */
    @Test
    void itIsIdleOnlyOnceEachCallHasItsAnswer() {
        beginAt(41_000);
        assertThat(reporter.isQuiescent()).isTrue();
        beatsUntil(41_450);
        assertThat(calls).hasSize(1);
        assertThat(reporter.isQuiescent()).isFalse();
        calls.get(0).done.accept(false);
        assertThat(reporter.isQuiescent()).isFalse();
        beatsUntil(43_000);
        assertThat(calls).hasSizeGreaterThan(1);
        calls.stream().skip(1).forEach(c -> c.done.accept(true));
        assertThat(reporter.isQuiescent())
                .as("the first may still be on its way")
                .isFalse();
        reporter.onSessionStarted(new LeaseSession("e2", "k/2", 8, 60_000, 600_000));
        assertThat(reporter.isQuiescent()).isTrue();
    }
}
