package spokestall.usage;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.lease.LeaseSession;
import spokestall.lease.LeasedTask;
import spokestall.message.MessageCodec;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Reports each window's usage to the platform while this node holds the lease.
 *
 * <p>The report of each window goes through these states ({@link WindowReport.State}):
 *
 * <ol>
 *   <li>closing: the reporter gathers the counts of a majority of the cores, and waits until every edge has closed the window or
 *       the maximum wait is over;
 *   <li>sealing: the reporter writes the counts into the window's write-once register. If an earlier lease holder has already
 *       sealed the window, the reporter uses that holder's counts and drops its own;
 *   <li>sending: the reporter sends the counts in the register, and no others;
 *   <li>recording: the reporter records in the register that the platform confirmed the counts.
 * </ol>
 *
 * <p>The platform has no read call for reports, so sending and recording can't be atomic. The reporter guarantees: a later holder
 * doesn't resend a window that is recorded as reported, and all reports of a window have the same counts. A window may be sent
 * twice, if a holder fails between sending and recording or if an answer is lost. A window that can't arrive before it is due is
 * not sent; its sealed counts remain readable.
 *
 * <p>The reporter checks the lease session before each step, and again immediately before a report is sent. The end of a report is
 * sent only once the lease says that the call may be in flight, see {@link spokestall.lease.CallAnnouncer}. Not thread-safe; call
 * only on the node's event loop.
 */
public final class UsageReporter implements LeasedTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String node;
    private final ReporterContext context;
    private final Proposer proposer;
    private final Clock clock;
    private final FleetClock fleetClock;
    private final ReportSchedule schedule;
    private final UsageReportClient client;
    private final ReportSources sources;
    private final UsageTable table;
    private final TreeMap<Long, WindowReport> reports = new TreeMap<>();
    private LeaseSession session;
    private long nextWindow;
    private long lastSentMs;
    private long lastSealed;
    private long missed;
    private int callsInFlight;
    private boolean unconfirmedCall;

    /** Creates a reporter; it is inactive until a lease session starts. */
    public UsageReporter(
            final ReporterContext context,
            final ReportSchedule schedule,
            final UsageReportClient client,
            final ReportSources sources) {
        this.context = context;
        this.node = context.node();
        this.proposer = context.proposer();
        this.clock = context.clock();
        this.fleetClock = context.fleetClock();
        this.schedule = schedule;
        this.client = client;
        this.sources = sources;
        this.table = sources.table();
    }

    /** Returns the newest window that this node sealed or found already sealed; 0 before the first. */
    public long lastSealed() {
        return lastSealed;
    }

    /** Returns the number of windows that this node did not send because they were overdue. */
    public long missed() {
        return missed;
    }

    @Override
    public void onSessionStarted(final LeaseSession started) {
        session = started;
        reports.clear();
        unconfirmedCall = false;
        lastSentMs = clock.nowMs();
        nextWindow = Math.floorDiv(fleetClock.nowMs() - schedule.dueMs(), schedule.windowMs());
        LOG.atInfo().log(
                "event=report_session_started node=%s sessionId=%s fencingToken=%s firstWindow=%s",
                node, started.sessionId(), started.fencingToken(), nextWindow);
    }

    @Override
    public boolean hasCallInFlight() {
        return callsInFlight > 0;
    }

    /**
     * Returns false while a call is in flight, and after a call of this session ended unconfirmed, because its request may still
     * reach the platform.
     */
    @Override
    public boolean isQuiescent() {
        return callsInFlight == 0 && !unconfirmedCall;
    }

    /** Starts reports of windows that have ended, and advances each report by one step. */
    public void onTick() {
        if (session == null) {
            return;
        }
        final Optional<LeaseSession.EndReason> endReason = session.endReason(clock.nowMs());
        if (endReason.isPresent()) {
            LOG.atInfo().log(
                    "event=report_session_ended node=%s sessionId=%s fencingToken=%s reason=%s",
                    node, session.sessionId(), session.fencingToken(), endReason.get());
            session = null;
            reports.clear();
            return;
        }
        while (schedule.endMs(nextWindow) <= fleetClock.nowMs()) {
            if (isReportable(nextWindow)) {
                reports.put(nextWindow, new WindowReport(nextWindow));
            }
            nextWindow++;
        }
        for (final WindowReport report : List.copyOf(reports.values())) {
            switch (report.state()) {
                case CLOSING -> gatherAndSeal(session, report);
                case SEALED -> sendInTime(session, report);
                case SEALING, SENDING, RECORDING, DONE -> {}
            }
        }
        reports.values().removeIf(report -> report.state() == WindowReport.State.DONE);
    }

    /** Merges a core's counts of a window into this core's table. */
    public void onMessage(final UsageMessage.CountsResponse response) {
        response.counts().forEach(table::merge);
        final WindowReport report = reports.get(response.window());
        if (report != null) {
            report.onCoreAnswered(response.core());
        }
    }

    /**
     * Returns whether a window may be reported. A window that began before this generation's counts are complete may already have
     * been reported with counts that have been lost since.
     */
    private boolean isReportable(final long window) {
        return window * schedule.windowMs() >= sources.floor().fleetMs();
    }

    private long lateMs(final WindowReport report) {
        return fleetClock.nowMs() - schedule.endMs(report.window());
    }

    /**
     * Requests the cores' counts, and seals the window when both conditions hold: all cores have answered, or a majority has and
     * the gathering time is over; and the window is closed and its grace period is over, or the maximum wait is over.
     */
    private void gatherAndSeal(final LeaseSession leaseSession, final WindowReport report) {
        final long lateMs = lateMs(report);
        // By then, either a majority of the cores has the counts of a request in this window, or it never will.
        if (lateMs < schedule.graceMs() - schedule.gatherMs()) {
            return;
        }
        final long nowMs = clock.nowMs();
        final int coreCount = sources.cores().current().size();
        final boolean majority = report.answeredCores() > coreCount / 2;
        final boolean closed = table.isClosed(report.window(), sources.edges());
        final boolean requestAgain = (!closed || !majority) && report.sinceLastRequestMs(nowMs) >= schedule.gatherMs();
        if (!report.isRequested() || requestAgain) {
            requestCounts(report, nowMs);
        }
        final boolean gathered = report.answeredCores() >= coreCount
                || majority && report.sinceFirstRequestMs(nowMs) >= schedule.gatherMs();
        final boolean complete = closed && lateMs >= schedule.graceMs();
        if (gathered && (complete || lateMs >= schedule.closeMaxMs())) {
            seal(leaseSession, report);
        }
    }

    private void requestCounts(final WindowReport report, final long nowMs) {
        report.onRequested(nowMs);
        for (final String core : sources.cores().current()) {
            context.sender().send(core, new UsageMessage.CountsRequest(context.address(), report.window()));
        }
    }

    private void seal(final LeaseSession leaseSession, final WindowReport report) {
        report.transition(WindowReport.State.SEALING);
        final Map<String, Long> counts = table.totals(report.window());
        final byte[] value = MessageCodec.encodeRecord(
                new SealedWindow(report.window(), counts, leaseSession.owner(), leaseSession.fencingToken(), false));
        proposer.propose(
                SealedWindow.key(report.window()),
                schedule.storeTimeoutMs(),
                currentValue ->
                        currentValue == null && leaseSession.isValid(clock.nowMs()) && isReportable(report.window())
                                ? new RegisterEdit.Set(value)
                                : RegisterEdit.LEAVE,
                outcome -> onSealOutcome(report, outcome));
    }

    private void onSealOutcome(final WindowReport report, final ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed done && done.value() != null) {
            lastSealed = Math.max(lastSealed, report.window());
            report.onSealed(MessageCodec.decodeRecord(done.value(), SealedWindow.class));
        } else {
            final boolean past = outcome instanceof ProposalOutcome.Pruned || !isReportable(report.window());
            report.transition(past ? WindowReport.State.DONE : WindowReport.State.CLOSING);
        }
    }

    /** Sends a sealed window, unless less than half of the send timeout is left until it is due. */
    private void sendInTime(final LeaseSession leaseSession, final WindowReport report) {
        final long lateMs = lateMs(report);
        if (lateMs + schedule.sendTimeoutMs() / 2 > schedule.dueMs()) {
            missed++;
            LOG.atWarning().log(
                    "event=window_missed node=%s sessionId=%s window=%s lateMs=%s",
                    node, leaseSession.sessionId(), report.window(), lateMs);
            report.transition(WindowReport.State.DONE);
        } else if (clock.nowMs() - lastSentMs >= schedule.sendGapMs() && leaseSession.isValid(clock.nowMs())) {
            send(leaseSession, report, Math.min(schedule.sendTimeoutMs(), schedule.dueMs() - lateMs));
        }
    }

    private void send(final LeaseSession leaseSession, final WindowReport report, final long timeoutMillis) {
        report.transition(WindowReport.State.SENDING);
        lastSentMs = clock.nowMs();
        callsInFlight++;
        final AnnouncedCall announcement = new AnnouncedCall(leaseSession, report);
        client.report(
                new ReportCall(node, leaseSession.fencingToken(), report.sealed(), timeoutMillis),
                () -> mayAct(leaseSession) ? leaseSession.deadlineMs() : Long.MIN_VALUE,
                announcement::request,
                result -> {
                    announcement.end();
                    onReportResult(leaseSession, report, result);
                });
    }

    private boolean mayAct(final LeaseSession leaseSession) {
        return leaseSession == session && leaseSession.isValid(clock.nowMs());
    }

    /** The announcement of one report's call in the lease. */
    private final class AnnouncedCall {
        private final LeaseSession leaseSession;
        private final WindowReport report;
        private boolean announced;

        AnnouncedCall(final LeaseSession leaseSession, final WindowReport report) {
            this.leaseSession = leaseSession;
            this.report = report;
        }

        void request(final Consumer<Boolean> permitted) {
            if (mayAct(leaseSession)) {
                announced = true;
                leaseSession.calls().announce(coveredUntilMs(), permitted);
            } else {
                permitted.accept(false);
            }
        }

        /** Rivals wait no longer than lets a successor report the window in time. */
        private long coveredUntilMs() {
            return clock.nowMs() + schedule.dueMs() - schedule.takeoverMs() - lateMs(report);
        }

        void end() {
            if (announced) {
                leaseSession.calls().onCallEnded();
            }
        }
    }

    private void onReportResult(final LeaseSession leaseSession, final WindowReport report, final ReportResult result) {
        callsInFlight--;
        LOG.atInfo().log(
                "event=window_reported node=%s sessionId=%s fencingToken=%s window=%s result=%s lateMs=%s",
                node, leaseSession.sessionId(), leaseSession.fencingToken(), report.window(), result, lateMs(report));
        switch (result) {
            case ACCEPTED -> recordCompleted(leaseSession, report);
            case NOT_SENT -> report.transition(WindowReport.State.SEALED);
            case UNCONFIRMED -> {
                unconfirmedCall = true;
                report.transition(WindowReport.State.SEALED);
            }
        }
    }

    private void recordCompleted(final LeaseSession leaseSession, final WindowReport report) {
        report.transition(WindowReport.State.RECORDING);
        proposer.propose(
                SealedWindow.key(report.window()), schedule.storeTimeoutMs(), UsageReporter::markCompleted, outcome -> {
                    report.transition(WindowReport.State.DONE);
                    if (!(outcome instanceof ProposalOutcome.Committed)) {
                        LOG.atWarning().log(
                                "event=window_completion_unknown node=%s sessionId=%s window=%s",
                                node, leaseSession.sessionId(), report.window());
                    }
                });
    }

    private static RegisterEdit markCompleted(final byte[] value) {
        final SealedWindow stored = value == null ? null : MessageCodec.decodeRecord(value, SealedWindow.class);
        return stored == null || stored.completed()
                ? RegisterEdit.LEAVE
                : new RegisterEdit.Set(MessageCodec.encodeRecord(stored.asCompleted()));
    }
}
