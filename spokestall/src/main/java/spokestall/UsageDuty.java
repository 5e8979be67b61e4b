package spokestall;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import spokestall.ballot.Ballot;
import spokestall.ballot.Proposer;
import spokestall.ballot.Register;
import spokestall.ballot.Voter;
import spokestall.duty.Lease;
import spokestall.duty.LeaseKeeper;
import spokestall.duty.Reporter;
import spokestall.duty.UsageBook;
import spokestall.duty.UsageNote;
import spokestall.wire.Codec;

/** A core's part in the usage report: the counts of all edges, the lease on reporting them, and the report. */
final class UsageDuty {
    private static final String DUTY = "usage_report";
    static final String LEASE = "duty/" + DUTY;
    static final String KEPT = "~usage";
    private static final Register NO_LEASE = new Register(Ballot.NONE, Ballot.NONE, null);
    private static final int WINDOWS_KEPT = 16;
    private final NodeContext context;
    private final Voter voter;
    private final UsageBook counts;
    private final Kept kept;
    private List<UsageNote.Count> countsBefore = List.of();
    private long tokenSeen;
    final Reporter reporter;
    final LeaseKeeper keeper;

    UsageDuty(
            final NodeContext context,
            final Neighbours neighbours,
            final Voter voter,
            final Proposer proposer,
            final Reporter.Platform platform,
            final Function<String, Long> presentLife) {
        this.context = context;
        this.voter = voter;
        final Paces paces = context.paces();
        final long windowMs = paces.windowMs();
        this.counts = new UsageBook(() -> context.fleet.nowMs() / windowMs, WINDOWS_KEPT);
        this.kept =
                new Kept(voter, KEPT, counts::changes, () -> new UsageNote.Counts(context.address, 0, counts.all()));
        this.reporter = new Reporter(
                context.name,
                context.address,
                counts,
                proposer,
                platform,
                context.post,
                context.clock,
                context.fleet,
                paces.reporter(),
                neighbours::coreAddresses,
                this::floorMs,
                presentLife);
        this.keeper = new LeaseKeeper(
                DUTY, context.name, proposer, context.clock, context.random, paces.lease(), reporter, this::leaseHere);
    }

    /** Reads what this core's disk has from before. */
    void open() {
        final UsageNote.Counts before = kept.read(UsageNote.Counts.class);
        if (before != null) {
            countsBefore = before.counts();
        }
        voter.registers().forEach(this::seen);
    }

    /** A register of this core's voter, as it is stored. */
    void seen(final String key, final Register register) {
        if (key.equals(LEASE) && register.value() != null) {
            tokenSeen = Math.max(
                    tokenSeen, Codec.record(register.value(), Lease.class).token());
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
        final boolean mayAcquire = voter.state() == Voter.State.VOTING && !leaving;
        if (context.fleet.settled() && (keeper.state() == LeaseKeeper.State.HOLDING || mayAcquire)) {
            keeper.tick();
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

    void hear(final UsageNote message) {
        if (message instanceof UsageNote.Counts told) {
            told.counts().forEach(counts::merge);
            context.post.send(told.from(), new UsageNote.CountsHad(context.name, told.stamp(), context.life));
        } else if (message instanceof UsageNote.CountAsk ask) {
            context.post.send(
                    ask.from(), new UsageNote.CountBack(context.name, ask.window(), counts.counts(ask.window())));
        } else if (message instanceof UsageNote.CountBack back) {
            reporter.hear(back);
        }
    }

    /** Gives up the lease; done is run when that is known to have ended. */
    void stop(final Runnable done) {
        keeper.stop(done);
    }

    /** This voter's copy of the lease, or null while it doesn't vote. */
    private Register leaseHere() {
        return voter.state() != Voter.State.VOTING ? null : voter.registers().getOrDefault(LEASE, NO_LEASE);
    }

    private long floorMs() {
        final Register floor = voter.registers().get(Merge.FLOOR);
        return floor == null || floor.value() == null
                ? context.fleet.nowMs()
                : Long.parseLong(new String(floor.value(), StandardCharsets.UTF_8));
    }
}
