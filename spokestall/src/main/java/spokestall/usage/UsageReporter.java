package spokestall.usage;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.RegisterEdit;
import spokestall.lease.LeaseManager;
import spokestall.lease.LeaseSession;
import spokestall.message.MessageCodec;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * The holder's work: closes each window after a grace, seals its counts in a write-once register, sends them, and
 * records that they were sent. Whoever sends a window sends the sealed counts. A window that can't be sent in time is
 * not sent; its sealed counts stay readable.
 */
public final class UsageReporter implements LeaseManager.Work {
    /** Spans, from the settings. */
    public record Timing(
            long windowMs,
            long graceMs,
            long waitMaxMs,
            long gatherMs,
            long dueMs,
            long storeWaitMs,
            long sendWaitMs,
            double perS) {}

    /** Sends one report to the platform. */
    public interface Platform {
        /** {@code until} tells, on the monotonic clock, until when the bytes may leave. Example: see {@code Outside}. */
        void report(
                String holder,
                long token,
                SealedWindow sealed,
                long waitMs,
                LongSupplier until,
                Consumer<Boolean> done);
    }

    private enum Stage {
        GATHER,
        SEALING,
        SEND,
        SENDING,
        COMPLETING,
        OVER
    }

    private static final class Unit {
        private final long window;
        private Stage stage = Stage.GATHER;
        private final Set<String> answered = new HashSet<>();
        private long requestedMs = -1;
        private long firstMs = -1;
        private SealedWindow sealed;

        Unit(final long window) {
            this.window = window;
        }
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String name;
    private final String address;
    private final UsageTable configurationStore;
    private final Proposer proposer;
    private final Platform platform;
    private final MessageSender post;
    private final Clock clock;
    private final FleetClock fleet;
    private final Timing timing;
    private final Supplier<List<String>> cores;
    private final LongSupplier floorMs;
    private final Function<String, Long> presentIncarnation;
    private final TreeMap<Long, Unit> units = new TreeMap<>();
    private LeaseSession execution;
    private long next;
    private long sentMs;
    private long lastSealed;
    private long missed;
    private int callsOpen;
    private boolean unanswered;

    /** Example: see {@code Node}. */
    public UsageReporter(
            final String name,
            final String address,
            final UsageTable configurationStore,
            final Proposer proposer,
            final Platform platform,
            final MessageSender post,
            final Clock clock,
            final FleetClock fleet,
            final Timing timing,
            final Supplier<List<String>> cores,
            final LongSupplier floorMs,
            final Function<String, Long> presentIncarnation) {
        this.name = name;
        this.address = address;
        this.configurationStore = configurationStore;
        this.proposer = proposer;
        this.platform = platform;
        this.post = post;
        this.clock = clock;
        this.fleet = fleet;
        this.timing = timing;
        this.cores = cores;
        this.floorMs = floorMs;
        this.presentIncarnation = presentIncarnation;
    }

    /** The newest window this node sealed or saw sealed. */
    public long lastSealed() {
        return lastSealed;
    }

    /** Windows that could not be sent in time. */
    public long missed() {
        return missed;
    }

    @Override
    public void begin(final LeaseSession begun) {
        execution = begun;
        units.clear();
        unanswered = false;
        sentMs = clock.nowMs();
        next = Math.floorDiv(fleet.nowMs() - timing.dueMs(), timing.windowMs());
        LOG.atInfo().log(
                "event=duty_begin node=%s executionId=%s token=%s from=%s",
                name, begun.executionId(), begun.token(), next);
    }

    /** A call that ended with no good answer may still be on its way. */
    @Override
    public boolean idle() {
        return callsOpen == 0 && !unanswered;
    }

    /** One beat. */
    public void tick() {
        if (execution == null) {
            return;
        }
        final String why = execution.why(clock.nowMs());
        if (why != null) {
            LOG.atInfo().log(
                    "event=duty_stop node=%s executionId=%s token=%s why=%s",
                    name, execution.executionId(), execution.token(), why);
            execution = null;
            units.clear();
            return;
        }
        while (endMs(next) <= fleet.nowMs()) {
            if (reportable(next)) {
                units.put(next, new Unit(next));
            }
            next++;
        }
        for (final Unit unit : List.copyOf(units.values())) {
            step(execution, unit);
        }
        units.values().removeIf(u -> u.stage == Stage.OVER);
    }

    /** A window that began before this generation may have been reported with counts that were lost since. */
    private boolean reportable(final long window) {
        return window * timing.windowMs() >= floorMs.getAsLong();
    }

    private long endMs(final long window) {
        return (window + 1) * timing.windowMs();
    }

    private void step(final LeaseSession mine, final Unit unit) {
        final long lateMs = fleet.nowMs() - endMs(unit.window);
        if (unit.stage == Stage.GATHER) {
            gather(mine, unit, lateMs);
        } else if (unit.stage == Stage.SEND) {
            if (lateMs + timing.sendWaitMs() / 2 > timing.dueMs()) {
                missed++;
                LOG.atWarning().log(
                        "event=window_missed node=%s window=%s executionId=%s lateMs=%s",
                        name, unit.window, mine.executionId(), lateMs);
                unit.stage = Stage.OVER;
            } else if (clock.nowMs() - sentMs >= 1000 / timing.perS()) {
                send(mine, unit, Math.min(timing.sendWaitMs(), timing.dueMs() - lateMs));
            }
        }
    }

    /** Seals once the others were asked and could answer, and every edge has closed the window or the wait is over. */
    private void gather(final LeaseSession mine, final Unit unit, final long lateMs) {
        // Whatever was begun in the window is with a majority by then, or never will be.
        if (lateMs < timing.graceMs() - timing.gatherMs()) {
            return;
        }
        final long nowMs = clock.nowMs();
        final int all = cores.get().size();
        final boolean majority = unit.answered.size() > all / 2;
        final boolean closed = configurationStore.closed(unit.window, presentIncarnation);
        final boolean askAgain = (!closed || !majority) && nowMs - unit.requestedMs >= timing.gatherMs();
        if (unit.requestedMs < 0 || askAgain) {
            unit.requestedMs = nowMs;
            unit.firstMs = unit.firstMs < 0 ? nowMs : unit.firstMs;
            for (final String core : cores.get()) {
                post.send(core, new UsageMessage.CountsRequest(address, unit.window));
            }
        }
        final boolean heard = unit.answered.size() >= all || majority && nowMs - unit.firstMs >= timing.gatherMs();
        final boolean whole = closed && lateMs >= timing.graceMs();
        if (heard && (whole || lateMs >= timing.waitMaxMs())) {
            seal(mine, unit);
        }
    }

    /** Hears what another core has of a window. */
    public void hear(final UsageMessage.CountsResponse back) {
        back.counts().forEach(configurationStore::merge);
        final Unit unit = units.get(back.window());
        if (unit != null) {
            unit.answered.add(back.name());
        }
    }

    private void seal(final LeaseSession mine, final Unit unit) {
        unit.stage = Stage.SEALING;
        final Map<String, Long> counts = configurationStore.sum(unit.window);
        final byte[] value =
                MessageCodec.encodeRecord(new SealedWindow(unit.window, counts, mine.owner(), mine.token(), false));
        proposer.change(
                SealedWindow.key(unit.window),
                timing.storeWaitMs(),
                now -> now == null && mine.mayWork(clock.nowMs()) && reportable(unit.window)
                        ? new RegisterEdit.Set(value)
                        : RegisterEdit.LEAVE,
                outcome -> {
                    if (outcome instanceof ProposalOutcome.Done done && done.value() != null) {
                        unit.sealed = MessageCodec.decodeRecord(done.value(), SealedWindow.class);
                        lastSealed = Math.max(lastSealed, unit.window);
                        unit.stage = unit.sealed.completed() ? Stage.OVER : Stage.SEND;
                    } else {
                        final boolean over = outcome instanceof ProposalOutcome.Gone || !reportable(unit.window);
                        unit.stage = over ? Stage.OVER : Stage.GATHER;
                    }
                });
    }

    private void send(final LeaseSession mine, final Unit unit, final long waitMs) {
        if (!mine.mayWork(clock.nowMs())) {
            return;
        }
        unit.stage = Stage.SENDING;
        sentMs = clock.nowMs();
        callsOpen++;
        platform.report(
                name,
                mine.token(),
                unit.sealed,
                waitMs,
                () -> mine == execution && mine.mayWork(clock.nowMs()) ? mine.deadlineMs() : Long.MIN_VALUE,
                ok -> {
                    callsOpen--;
                    unanswered |= !ok;
                    LOG.atInfo().log(
                            "event=report node=%s executionId=%s token=%s window=%s ok=%s lateMs=%s",
                            name,
                            mine.executionId(),
                            mine.token(),
                            unit.window,
                            ok,
                            fleet.nowMs() - endMs(unit.window));
                    if (ok) {
                        complete(mine, unit);
                    } else {
                        unit.stage = Stage.SEND;
                    }
                });
    }

    private void complete(final LeaseSession mine, final Unit unit) {
        unit.stage = Stage.COMPLETING;
        proposer.change(
                SealedWindow.key(unit.window),
                timing.storeWaitMs(),
                value -> {
                    final SealedWindow now =
                            value == null ? null : MessageCodec.decodeRecord(value, SealedWindow.class);
                    return now == null || now.completed()
                            ? RegisterEdit.LEAVE
                            : new RegisterEdit.Set(MessageCodec.encodeRecord(now.complete()));
                },
                outcome -> {
                    unit.stage = Stage.OVER;
                    if (!(outcome instanceof ProposalOutcome.Done)) {
                        LOG.atWarning().log(
                                "event=completion_unclear node=%s window=%s executionId=%s",
                                name, unit.window, mine.executionId());
                    }
                });
    }
}
