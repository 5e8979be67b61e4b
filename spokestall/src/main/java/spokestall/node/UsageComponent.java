package spokestall.node;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.lease.Lease;
import spokestall.lease.LeaseManager;
import spokestall.message.MessageCodec;
import spokestall.usage.UsageMessage;
import spokestall.usage.UsageReporter;
import spokestall.usage.UsageTable;

/** A core's part in the usage report: the counts of all edges, the lease on reporting them, and the report. */
final class UsageComponent {
    private static final String DUTY = "usage_report";
    static final String LEASE = "duty/" + DUTY;
    static final String KEPT = "~usage";
    private static final Register NO_LEASE = new Register(ProposalNumber.NONE, ProposalNumber.NONE, null);
    private static final int WINDOWS_KEPT = 16;
    private final NodeContext context;
    private final Acceptor acceptor;
    private final UsageTable counts;
    private final PersistedState kept;
    private List<UsageMessage.Count> countsBefore = List.of();
    private long tokenSeen;
    final UsageReporter reporter;
    final LeaseManager leaseManager;

    UsageComponent(
            final NodeContext context,
            final PeerDirectory neighbours,
            final Acceptor acceptor,
            final Proposer proposer,
            final UsageReporter.Platform platform,
            final Function<String, Long> presentIncarnation) {
        this.context = context;
        this.acceptor = acceptor;
        final Timings timings = context.timings();
        final long windowMs = timings.windowMs();
        this.counts = new UsageTable(() -> context.fleet.nowMs() / windowMs, WINDOWS_KEPT);
        this.kept = new PersistedState(
                acceptor, KEPT, counts::changes, () -> new UsageMessage.Counts(context.address, 0, counts.all()));
        this.reporter = new UsageReporter(
                context.name,
                context.address,
                counts,
                proposer,
                platform,
                context.post,
                context.clock,
                context.fleet,
                timings.reporter(),
                neighbours::coreAddresses,
                this::floorMs,
                presentIncarnation);
        this.leaseManager = new LeaseManager(
                DUTY,
                context.name,
                proposer,
                context.clock,
                context.random,
                timings.lease(),
                reporter,
                this::leaseHere);
    }

    /** Reads what this core's disk has from before. */
    void open() {
        final UsageMessage.Counts before = kept.read(UsageMessage.Counts.class);
        if (before != null) {
            countsBefore = before.counts();
        }
        acceptor.registers().forEach(this::seen);
    }

    /** A register of this core's voter, as it is stored. */
    void seen(final String key, final Register register) {
        if (key.equals(LEASE) && register.value() != null) {
            tokenSeen = Math.max(
                    tokenSeen,
                    MessageCodec.decodeRecord(register.value(), Lease.class).token());
        }
    }

    /** The highest fencing token that was stored here. */
    long tokenSeen() {
        return tokenSeen;
    }

    /**
     * A node that leaves acquires no lease; one that it holds it keeps until its last request is answered. Neither does one that
     * doesn't vote: without the registers it can't tell which windows it may report.
     */
    void tickLease(final boolean leaving) {
        final boolean mayAcquire = acceptor.state() == Acceptor.State.VOTING && !leaving;
        if (context.fleet.settled() && (leaseManager.state() == LeaseManager.State.HOLDING || mayAcquire)) {
            leaseManager.tick();
        }
    }

    void tickKept() {
        kept.tick();
    }

    /** Counts of before the last loss count once the fleet's time is known, by which their windows are. */
    void recount() {
        if (!countsBefore.isEmpty() && context.fleet.settled()) {
            countsBefore.forEach(counts::merge);
            countsBefore = List.of();
        }
    }

    void hear(final UsageMessage message) {
        if (message instanceof UsageMessage.Counts told) {
            told.counts().forEach(counts::merge);
            context.post.send(
                    told.from(), new UsageMessage.CountsAcknowledged(context.name, told.stamp(), context.incarnation));
        } else if (message instanceof UsageMessage.CountsRequest ask) {
            context.post.send(
                    ask.from(),
                    new UsageMessage.CountsResponse(context.name, ask.window(), counts.counts(ask.window())));
        } else if (message instanceof UsageMessage.CountsResponse back) {
            reporter.hear(back);
        }
    }

    /** Gives up the lease; done is run when that is known to have ended. */
    void stop(final Runnable done) {
        leaseManager.stop(done);
    }

    /** This voter's copy of the lease, or null while it doesn't vote. */
    private Register leaseHere() {
        return acceptor.state() != Acceptor.State.VOTING
                ? null
                : acceptor.registers().getOrDefault(LEASE, NO_LEASE);
    }

    private long floorMs() {
        final Register floor = acceptor.registers().get(GenerationMerger.FLOOR);
        return floor == null || floor.value() == null
                ? context.fleet.nowMs()
                : Long.parseLong(new String(floor.value(), StandardCharsets.UTF_8));
    }
}
