package spokestall.node;

import java.nio.charset.StandardCharsets;
import java.util.List;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.lease.Lease;
import spokestall.lease.LeaseContext;
import spokestall.lease.LeaseManager;
import spokestall.message.MessageCodec;
import spokestall.usage.CurrentIncarnations;
import spokestall.usage.ReportSources;
import spokestall.usage.ReporterContext;
import spokestall.usage.UsageMessage;
import spokestall.usage.UsageReportClient;
import spokestall.usage.UsageReporter;
import spokestall.usage.UsageTable;

/**
 * A core's part in reporting usage: the table of all edges' counts, the lease on reporting, and the reporter.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class UsageComponent {
    // The role and the keys are stored and appear in replies, so they must not change.
    private static final String ROLE = "usage_report";
    static final String LEASE_KEY = Lease.key(ROLE);
    static final String COUNTS_KEY = "~usage";
    private static final Register NO_LEASE = new Register(ProposalNumber.NONE, ProposalNumber.NONE, null);
    private static final int WINDOWS_KEPT = 16;
    private final NodeContext context;
    private final Acceptor acceptor;
    private final UsageTable table;
    private final PersistedState persistedCounts;
    private List<UsageMessage.Count> countsFromDisk = List.of();
    private long highestFencingToken;
    final UsageReporter reporter;
    final LeaseManager leaseManager;

    UsageComponent(
            final NodeContext context,
            final PeerDirectory peers,
            final Acceptor acceptor,
            final Proposer proposer,
            final UsageReportClient platform,
            final CurrentIncarnations edges) {
        this.context = context;
        this.acceptor = acceptor;
        final Timings timings = context.timings();
        final long windowMs = timings.windowMs();
        this.table = new UsageTable(() -> context.fleetClock.nowMs() / windowMs, WINDOWS_KEPT);
        this.persistedCounts = new PersistedState(
                acceptor,
                COUNTS_KEY,
                table::changeCount,
                () -> new UsageMessage.Counts(context.address, 0, table.allCounts()));
        this.reporter = new UsageReporter(
                new ReporterContext(
                        context.name,
                        context.address,
                        proposer,
                        context.messageSender,
                        context.clock,
                        context.fleetClock),
                timings.reporter(),
                platform,
                new ReportSources(table, peers::coreAddresses, edges, this::reportFloorMs));
        this.leaseManager = new LeaseManager(
                new LeaseContext(ROLE, context.name, proposer, context.clock, context.random),
                timings.lease(),
                reporter,
                this::leaseReplica);
    }

    /** Loads the counts and the fencing token that an earlier incarnation left on this core's disk. */
    void open() {
        final UsageMessage.Counts stored = persistedCounts.read(UsageMessage.Counts.class);
        if (stored != null) {
            countsFromDisk = stored.counts();
        }
        acceptor.registers().forEach(this::onRegisterStored);
    }

    /** Records the fencing token of the lease each time this core's acceptor stores it. */
    void onRegisterStored(final String key, final Register register) {
        if (key.equals(LEASE_KEY) && register.value() != null) {
            highestFencingToken = Math.max(
                    highestFencingToken,
                    MessageCodec.decodeRecord(register.value(), Lease.class).fencingToken());
        }
    }

    /** Returns the highest fencing token stored on this core, or 0 if none was stored. */
    long highestFencingToken() {
        return highestFencingToken;
    }

    /**
     * Ticks the lease manager if this core holds or releases the lease, or may acquire it. A core that is draining doesn't acquire
     * the lease, but keeps one that it holds until its last request is answered. A core that doesn't vote doesn't
     * acquire the lease either: without the registers it can't tell which windows it may report.
     */
    void tickLease(final boolean draining) {
        final boolean mayAcquire = acceptor.state() == Acceptor.State.VOTING && !draining;
        final boolean holdsOrReleases = leaseManager.state() == LeaseManager.State.HOLDING
                || leaseManager.state() == LeaseManager.State.RELEASING;
        if (context.fleetClock.settled() && (holdsOrReleases || mayAcquire)) {
            leaseManager.onTick();
        }
    }

    /** Writes the counts to disk if they changed. */
    void tickPersistedCounts() {
        persistedCounts.tick();
    }

    /**
     * Merges the counts loaded from disk once the fleet clock has settled, because windows are numbered by the fleet's
     * time.
     */
    void mergeCountsFromDisk() {
        if (!countsFromDisk.isEmpty() && context.fleetClock.settled()) {
            countsFromDisk.forEach(table::merge);
            countsFromDisk = List.of();
        }
    }

    /**
     * Merges pushed counts and acknowledges them, answers requests for counts, and passes responses to the reporter.
     */
    void onMessage(final UsageMessage message) {
        if (message instanceof UsageMessage.Counts push) {
            push.counts().forEach(table::merge);
            context.messageSender.send(
                    push.sender(),
                    new UsageMessage.CountsAcknowledged(context.name, push.pushId(), context.incarnation));
        } else if (message instanceof UsageMessage.CountsRequest request) {
            context.messageSender.send(
                    request.sender(),
                    new UsageMessage.CountsResponse(context.name, request.window(), table.counts(request.window())));
        } else if (message instanceof UsageMessage.CountsResponse response) {
            reporter.onMessage(response);
        }
    }

    /**
     * Stops the lease manager for good. {@code done} runs once the attempt to release the lease has ended, or at once
     * if there is nothing to release.
     */
    void stop(final Runnable done) {
        leaseManager.stop(done);
    }

    /** Returns this voter's replica of the lease's register, or null while this core doesn't vote. */
    private Register leaseReplica() {
        return acceptor.state() == Acceptor.State.VOTING
                ? acceptor.registers().getOrDefault(LEASE_KEY, NO_LEASE)
                : null;
    }

    private long reportFloorMs() {
        final Register floor = acceptor.registers().get(GenerationMerger.GENERATION_START_KEY);
        return floor == null || floor.value() == null
                ? context.fleetClock.nowMs()
                : Long.parseLong(new String(floor.value(), StandardCharsets.UTF_8));
    }
}
