package spokestall.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.consensus.ConsensusTestContext;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;
import spokestall.lease.CallAnnouncer;
import spokestall.lease.LeaseSession;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.time.FleetClock;

class UsageReporterTest {
    private static final long WINDOW_MS = 5000;
    private static final long DUE_MS = 10_000;
    private static final long TAKEOVER_MS = 2000;
    private static final ReportSchedule SCHEDULE =
            new ReportSchedule(WINDOW_MS, 1500, 5000, 300, DUE_MS, TAKEOVER_MS, 800, 800, 10);
    private static final List<String> CORES = List.of("v0", "v1", "v2", "v3", "v4", "v5");

    private record Call(ReportCall report, long atMs, ReportPermit permit, ReportCallback callback) {
        long window() {
            return contents().window();
        }

        SealedWindow contents() {
            return report.window();
        }

        long timeoutMillis() {
            return report.timeoutMillis();
        }
    }

    /** Announces calls at once while the session's lease is stored, as the lease manager does. */
    private final class ImmediateAnnouncer implements CallAnnouncer {
        @Override
        public void announce(final long untilMs, final Consumer<Boolean> announced) {
            openCalls++;
            coveredUntilMs = untilMs;
            announced.accept(announceable);
        }

        @Override
        public void onCallEnded() {
            openCalls--;
        }
    }

    private boolean announceable = true;
    private int openCalls;
    private long coveredUntilMs;

    private final ConsensusTestContext context = new ConsensusTestContext(1, 0);
    private final FleetClock fleetClock = new FleetClock(context.clock, 100);
    private final List<Call> calls = new ArrayList<>();
    private final UsageTable table = new UsageTable(() -> fleetClock.nowMs() / WINDOW_MS, 16);
    private final UsageReporter reporter = new UsageReporter(
            new ReporterContext("k", "k", context.proposer("k"), this::answer, context.clock, fleetClock),
            SCHEDULE,
            (report, deadline, permit, callback) ->
                    calls.add(new Call(report, context.clock.nowMs(), permit, callback)),
            new ReportSources(table, () -> CORES, edge -> null, () -> 0));

    private void answer(final String core, final Message message) {
        final UsageMessage.CountsRequest request = (UsageMessage.CountsRequest) message;
        context.clock.after(
                5, () -> reporter.onMessage(new UsageMessage.CountsResponse(core, request.window(), List.of())));
    }

    private LeaseSession session(final String id, final String owner, final long token, final long deadlineMs) {
        return new LeaseSession(id, owner, token, deadlineMs, 600_000, new ImmediateAnnouncer());
    }

    private void startSessionAt(final long ms) {
        context.run(ms);
        reporter.onSessionStarted(session("s1", "k/1", 7, ms + 20_000));
    }

    /** Writes counts to a window's register as an earlier lease holder would. */
    private void store(final SealedWindow contents) {
        context.proposer("w")
                .propose(
                        SealedWindow.key(contents.window()),
                        800,
                        value -> new RegisterEdit.Set(MessageCodec.encodeRecord(contents)),
                        outcome -> assertThat(outcome).isInstanceOf(ProposalOutcome.Committed.class));
        context.run(context.clock.nowMs() + 400);
    }

    private List<Call> callsOf(final long window) {
        return calls.stream().filter(call -> call.window() == window).toList();
    }

    private void tickUntil(final long ms) {
        while (context.clock.nowMs() < ms) {
            reporter.onTick();
            context.run(context.clock.nowMs() + 20);
        }
    }

    /** A new lease holder sends earlier windows that are not yet overdue. The call timeout ends no later than the window is due. */
    @Test
    void newHolderSendsEarlierWindowsThatAreNotYetOverdue() {
        startSessionAt(49_200);
        tickUntil(50_000);
        assertThat(calls).extracting(Call::window).containsExactlyInAnyOrder(7L, 8L);
        assertThat(calls)
                .allSatisfy(c -> assertThat(c.atMs + c.timeoutMillis())
                        .isLessThanOrEqualTo((c.window() + 1) * WINDOW_MS + DUE_MS));
    }

    @Test
    void overdueWindowIsNotSent() {
        startSessionAt(49_700);
        tickUntil(50_400);
        assertThat(calls).extracting(Call::window).containsExactly(8L);
        assertThat(reporter.missed()).isEqualTo(1);
    }

    /** The platform may still receive a call that is in flight or ended unconfirmed. */
    @Test
    void reporterIsQuiescentOnlyAfterEachCallIsConfirmed() {
        startSessionAt(41_000);
        assertThat(reporter.isQuiescent()).isTrue();
        tickUntil(41_450);
        assertThat(calls).hasSize(1);
        assertThat(reporter.isQuiescent()).isFalse();
        calls.get(0).callback.onResult(ReportResult.UNCONFIRMED);
        assertThat(reporter.isQuiescent()).isFalse();
        tickUntil(43_000);
        assertThat(calls).hasSizeGreaterThan(1);
        calls.stream().skip(1).forEach(c -> c.callback.onResult(ReportResult.ACCEPTED));
        assertThat(reporter.isQuiescent())
                .as("the platform may still receive the first call")
                .isFalse();
        reporter.onSessionStarted(session("e2", "k/2", 8, 60_000));
        assertThat(reporter.isQuiescent()).isTrue();
    }

    /** Guards against: a report of a frozen or cut-off holder was under way, and its successor could not know. */
    @Test
    void theEndOfAReportIsSentOnlyOnceItsCallIsAnnouncedInTheLease() {
        startSessionAt(41_000);
        tickUntil(41_450);
        assertThat(openCalls).isZero();
        final List<Boolean> permits = new ArrayList<>();
        calls.get(0).permit.request(permits::add);
        assertThat(permits).containsExactly(true);
        assertThat(openCalls).isOne();
        assertThat(coveredUntilMs)
                .as("a successor can report the window in time")
                .isEqualTo((calls.get(0).window() + 1) * WINDOW_MS + DUE_MS - TAKEOVER_MS);
        calls.get(0).callback.onResult(ReportResult.ACCEPTED);
        assertThat(openCalls).isZero();
    }

    @Test
    void theEndOfAReportIsNotSentIfItsCallCouldNotBeAnnouncedOrTheSessionEnded() {
        startSessionAt(41_000);
        tickUntil(41_450);
        announceable = false;
        final List<Boolean> permits = new ArrayList<>();
        calls.get(0).permit.request(permits::add);
        calls.get(0).callback.onResult(ReportResult.NOT_SENT);
        assertThat(openCalls).isZero();
        announceable = true;
        tickUntil(41_900);
        context.run(62_000);
        calls.get(1).permit.request(permits::add);
        assertThat(permits).containsExactly(false, false);
        assertThat(openCalls).isZero();
    }

    /** A report whose end was not sent can't arrive, so it doesn't keep the lease from being released. */
    @Test
    void aReportThatWasNotSentIsSentAgainAndLeavesTheReporterQuiescent() {
        startSessionAt(41_000);
        tickUntil(41_450);
        assertThat(reporter.hasCallInFlight()).isTrue();
        calls.get(0).callback.onResult(ReportResult.NOT_SENT);
        assertThat(reporter.hasCallInFlight()).isFalse();
        assertThat(reporter.isQuiescent()).isTrue();
        tickUntil(41_900);
        assertThat(callsOf(calls.get(0).window())).hasSize(2);
    }

    /** A lease holder sends the counts in the window's register, even if its own table differs. */
    @Test
    void windowSealedByAnEarlierHolderIsSentWithItsSealedCounts() {
        context.run(40_500);
        store(new SealedWindow(7, Map.of("t", 3L), "k0/1", 5, false));
        table.merge(new UsageMessage.Count("e", 1, 7, Map.of("t", 9L), true));
        startSessionAt(41_000);
        tickUntil(43_000);
        assertThat(callsOf(7)).hasSize(1);
        assertThat(callsOf(7).get(0).contents().counts()).isEqualTo(Map.of("t", 3L));
        assertThat(callsOf(7).get(0).contents().owner()).isEqualTo("k0/1");
    }

    @Test
    void windowRecordedAsReportedIsNotSentAgain() {
        context.run(40_500);
        store(new SealedWindow(7, Map.of("t", 3L), "k0/1", 5, true));
        startSessionAt(41_000);
        tickUntil(43_000);
        assertThat(callsOf(6)).hasSize(1);
        assertThat(callsOf(7)).isEmpty();
        assertThat(reporter.lastSealed()).isEqualTo(7);
    }

    @Test
    void unconfirmedWindowIsResentWithTheSameCountsAndConfirmedWindowIsRecorded() {
        context.run(40_900);
        table.merge(new UsageMessage.Count("e", 1, 7, Map.of("t", 9L), true));
        startSessionAt(41_000);
        tickUntil(42_000);
        callsOf(7).get(0).callback().onResult(ReportResult.UNCONFIRMED);
        table.merge(new UsageMessage.Count("e", 1, 7, Map.of("t", 10L), true));
        tickUntil(42_400);
        assertThat(callsOf(7)).hasSize(2);
        assertThat(callsOf(7))
                .allSatisfy(call -> assertThat(call.contents().counts()).isEqualTo(Map.of("t", 9L)));
        callsOf(7).get(1).callback().onResult(ReportResult.ACCEPTED);
        tickUntil(42_800);
        reporter.onSessionStarted(session("s2", "k/2", 8, 60_000));
        tickUntil(44_000);
        assertThat(callsOf(7))
                .as("a later session finds the window recorded as reported")
                .hasSize(2);
    }
}
