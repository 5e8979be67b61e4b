package spokestall.lease;

import com.google.common.flogger.FluentLogger;
import java.util.Random;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.consensus.RegisterEdit;
import spokestall.consensus.Voter;
import spokestall.message.MessageCodec;
import spokestall.time.Clock;

/**
 * Acquires, renews and releases the lease of one duty. With no clock in common, a rival takes an expired lease only
 * after it saw the same owner and renewal unchanged for the whole span and a margin on its own monotonic clock.
 */
public final class LeaseManager {
    /** Explicit states. */
    public enum State {
        WATCHING,
        ACQUIRING,
        HOLDING,
        RELEASING,
        STOPPED
    }

    /** Spans, from the settings. A node does not acquire the lease from another holder until restMs after it ceased to hold it
     * itself: where the order of holders is looked at within a span, a holder that comes back in between would seem to act
     * beside the one that followed it. */
    public record Timing(
            long leaseMs, long renewMs, long storeWaitMs, long marginMs, long turnMs, long maxRunMs, long restMs) {}

    /** Told when an execution begins; it ends by itself when it may no longer work. */
    public interface Work {
        /** Example: {@code work.begin(execution)} */
        void begin(LeaseSession execution);

        /** Whether no call made under an ended execution may still arrive. Only then may a new execution follow without waiting
         * for the lease to expire. Work that makes no calls is always idle. */
        default boolean idle() {
            return true;
        }
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String duty;
    private final String name;
    private final Proposer proposer;
    private final Clock clock;
    private final Random random;
    private final Timing timing;
    private final Work work;
    private final Supplier<Register> own;
    private State state = State.WATCHING;
    private Lease seen;
    private long seenMs;
    private boolean looked;
    private Lease copied;
    private boolean glanced;
    private boolean strange;
    private boolean reading;
    private boolean renewing;
    private long renewAskedMs;
    private LeaseSession execution;
    /** When this node last may have acted as the holder: an earlier life of it until this one was made. */
    private long ceasedMs;

    /** The owner value of the last execution that ended in this life, or null. */
    private String endedOwner;

    /** Example: {@code new LeaseManager("usage_report", "d1-core", proposer, clock, random, timing, reporter)} */
    public LeaseManager(
            final String duty,
            final String name,
            final Proposer proposer,
            final Clock clock,
            final Random random,
            final Timing timing,
            final Work work) {
        this(duty, name, proposer, clock, random, timing, work, () -> null);
    }

    /** One that votes looks at its own copy of the register first; without one it looks at the store on each beat.
     * Example: see {@code Node}; {@code own} gives null when there is no copy to go by. */
    public LeaseManager(
            final String duty,
            final String name,
            final Proposer proposer,
            final Clock clock,
            final Random random,
            final Timing timing,
            final Work work,
            final Supplier<Register> own) {
        this.own = own;
        this.duty = duty;
        this.name = name;
        this.proposer = proposer;
        this.clock = clock;
        this.random = random;
        this.timing = timing;
        this.work = work;
        this.ceasedMs = clock.nowMs();
    }

    /** Example: {@code leaseManager.state() == LeaseManager.State.HOLDING} */
    public State state() {
        return state;
    }

    /** The lease as last seen in the store, or null. */
    public Lease seen() {
        return seen;
    }

    /** The execution under way, or null. */
    public LeaseSession execution() {
        return execution;
    }

    private void change(final State to, final String why) {
        LOG.atInfo().log(
                "event=lease node=%s duty=%s from=%s to=%s why=%s executionId=%s token=%s",
                name,
                duty,
                state,
                to,
                why,
                execution == null ? "none" : execution.executionId(),
                execution == null ? 0 : execution.token());
        state = to;
    }

    /** One beat. */
    public void tick() {
        switch (state) {
            case WATCHING -> watch();
            case HOLDING -> hold();
            default -> {}
        }
    }

    private void watch() {
        if (reading || proposer.voterSet() == null) {
            return;
        }
        final Register copy = own.get();
        if (copy != null) {
            glance(copy.value() == null ? null : MessageCodec.decodeRecord(copy.value(), Lease.class));
        }
        if (copy != null && looked && !strange && !due()) {
            return;
        }
        reading = true;
        proposer.read(Lease.key(duty), timing.storeWaitMs(), outcome -> {
            reading = false;
            if (state == State.WATCHING && outcome instanceof ProposalOutcome.Done done) {
                strange = false;
                looked(done.value() == null ? null : MessageCodec.decodeRecord(done.value(), Lease.class));
            }
        });
    }

    /** A copy may be behind the store or ahead of it. A later word of the owner that the store named begins the watch
     * anew; any other change is for the store to tell. */
    private void glance(final Lease now) {
        if (glanced && same(now, copied)) {
            return;
        }
        glanced = true;
        copied = now;
        if (!looked || now == null || seen == null || !now.owner().equals(seen.owner())) {
            strange = !looked || !same(now, seen);
        } else if (now.renewal() > seen.renewal() || now.released() && !seen.released()) {
            seen = now;
            seenMs = clock.nowMs();
        }
    }

    private static boolean same(final Lease one, final Lease other) {
        return one == null
                ? other == null
                : other != null
                        && one.owner().equals(other.owner())
                        && one.renewal() == other.renewal()
                        && one.released() == other.released();
    }

    /** What the store says. Only what was unchanged there too is taken. */
    private void looked(final Lease now) {
        if (!looked || !same(now, seen)) {
            seen = now;
            seenMs = clock.nowMs();
            looked = true;
        }
        if (due()) {
            acquire();
        }
    }

    /** Whether the lease as seen may be acquired by this node now. */
    private boolean due() {
        if (ownEarlier(seen)) {
            return true;
        }
        final long nowMs = clock.nowMs();
        return nowMs - ceasedMs >= timing.restMs() && nowMs - seenMs >= freeAfterMs(seen) + turnMs(seen);
    }

    /**
     * Whether the lease names this node as the holder by an acquisition whose outcome was unclear, or by an earlier life. Nothing
     * is done under it and nobody else acquired it since, so its expiry need not be waited for. An execution that has ended in
     * this life is left to others. Of a lease that an older generation allotted, a later change may have been lost.
     */
    private boolean ownEarlier(final Lease now) {
        return now != null
                && now.holder().equals(name)
                && !now.owner().equals(endedOwner)
                && now.token() >= proposer.voterSet().firstNumber()
                && work.idle();
    }

    /** How long a lease must be seen unchanged before it is free. A release is only written once nothing can be on its way. */
    private long freeAfterMs(final Lease now) {
        if (now != null && now.released()) {
            return 0;
        }
        // No lease at all may mean that one was lost with its disks while its holder still works.
        return (now == null ? timing.leaseMs() : Math.max(now.spanMs(), timing.leaseMs())) + timing.marginMs();
    }

    /**
     * Rivals that saw the same lease run out come one after another, in an order drawn from the lease itself, so that
     * the first is done before the next begins; all at once would spend the store's time on each other's proposal numbers.
     */
    private long turnMs(final Lease expired) {
        final String salt = expired == null ? "" : expired.owner() + expired.renewal();
        int before = 0;
        for (final Voter voter : proposer.voterSet().voters()) {
            before += (expired == null || !voter.name().equals(expired.holder()))
                            && (voter.name() + salt).hashCode() < (name + salt).hashCode()
                    ? 1
                    : 0;
        }
        return before * timing.turnMs();
    }

    private void acquire() {
        final long requestedMs = clock.nowMs();
        final Lease expired = seen;
        final String owner = name + "/" + Long.toHexString(random.nextLong());
        final String executionId = Long.toHexString(random.nextLong());
        execution = null;
        change(State.ACQUIRING, whyFree(expired));
        proposer.change(
                Lease.key(duty),
                timing.storeWaitMs(),
                value -> {
                    final Lease now = value == null ? null : MessageCodec.decodeRecord(value, Lease.class);
                    if (now != null && now.owner().equals(owner)) {
                        return new RegisterEdit.Set(value);
                    }
                    final boolean free = now == null
                            || now.released()
                            || expired != null
                                    && now.owner().equals(expired.owner())
                                    && now.renewal() == expired.renewal();
                    final long first = proposer.voterSet().firstNumber();
                    final long token = Math.max(now == null ? 0 : now.token(), first) + 1;
                    return free
                            ? new RegisterEdit.Set(MessageCodec.encodeRecord(
                                    new Lease(owner, name, 0, token, timing.leaseMs(), false)))
                            : RegisterEdit.LEAVE;
                },
                outcome -> acquired(outcome, owner, executionId, requestedMs));
    }

    private String whyFree(final Lease expired) {
        if (expired == null) {
            return "none";
        }
        if (expired.holder().equals(name)) {
            return "own";
        }
        return expired.released() ? "released" : "expired";
    }

    private void acquired(
            final ProposalOutcome outcome, final String owner, final String executionId, final long requestedMs) {
        final long nowMs = clock.nowMs();
        seen = null;
        looked = false;
        if (outcome instanceof ProposalOutcome.Done done && done.value() != null) {
            final Lease now = MessageCodec.decodeRecord(done.value(), Lease.class);
            seen = now;
            seenMs = nowMs;
            looked = true;
            if (done.wrote() && now.owner().equals(owner) && nowMs - requestedMs <= timing.storeWaitMs()) {
                execution = new LeaseSession(
                        executionId,
                        owner,
                        now.token(),
                        requestedMs + timing.leaseMs() - timing.marginMs(),
                        requestedMs + timing.maxRunMs());
                renewAskedMs = nowMs;
                change(State.HOLDING, "acquired");
                work.begin(execution);
                return;
            }
        }
        // Denied, late or unclear: nothing is begun. If it took hold all the same, the next look finds it and begins
        // anew.
        change(State.WATCHING, outcome instanceof ProposalOutcome.Done ? "denied" : "unclear");
    }

    private void hold() {
        final long nowMs = clock.nowMs();
        final String why = execution.why(nowMs);
        if (why != null) {
            release(why);
        } else if (!renewing && nowMs - renewAskedMs >= timing.renewMs()) {
            renew(execution);
        }
    }

    /** Compares and sets: the lease is changed only while it is this execution's and not released. */
    private static RegisterEdit ifOwned(final byte[] value, final LeaseSession mine, final UnaryOperator<Lease> next) {
        final Lease now = value == null ? null : MessageCodec.decodeRecord(value, Lease.class);
        final boolean own = now != null && now.owner().equals(mine.owner()) && !now.released();
        return own ? new RegisterEdit.Set(MessageCodec.encodeRecord(next.apply(now))) : RegisterEdit.LEAVE;
    }

    private void renew(final LeaseSession mine) {
        renewing = true;
        final long requestedMs = clock.nowMs();
        renewAskedMs = requestedMs;
        proposer.change(
                Lease.key(duty),
                timing.storeWaitMs(),
                value -> ifOwned(
                        value,
                        mine,
                        now -> new Lease(now.owner(), name, now.renewal() + 1, now.token(), timing.leaseMs(), false)),
                outcome -> {
                    renewing = false;
                    renewed(mine, remainingMs(mine, outcome, requestedMs), requestedMs);
                });
    }

    /** The milliseconds a renewal gained; zero is not renewed. */
    private long remainingMs(final LeaseSession mine, final ProposalOutcome outcome, final long requestedMs) {
        final long nowMs = clock.nowMs();
        final boolean good = outcome instanceof ProposalOutcome.Done done
                && done.wrote()
                && MessageCodec.decodeRecord(done.value(), Lease.class).owner().equals(mine.owner());
        final boolean timely = nowMs - requestedMs <= timing.storeWaitMs() && mine.mayWork(nowMs);
        return good && timely ? Math.max(0, requestedMs + timing.leaseMs() - timing.marginMs() - nowMs) : 0;
    }

    private void renewed(final LeaseSession mine, final long remainingMs, final long requestedMs) {
        if (mine != execution || state != State.HOLDING) {
            return;
        }
        if (remainingMs > 0) {
            mine.renewed(requestedMs + timing.leaseMs() - timing.marginMs());
            return;
        }
        mine.doubt();
        release("renewal");
    }

    /** Ends the execution. The lease is released only if no call of it is under way; else it is left to expire. */
    private void release(final String why) {
        final LeaseSession mine = execution;
        mine.cancel();
        ceasedMs = clock.nowMs();
        endedOwner = mine.owner();
        change(State.RELEASING, why);
        if (!work.idle()) {
            ended("calls_open");
            return;
        }
        proposer.change(
                Lease.key(duty),
                timing.storeWaitMs(),
                value -> ifOwned(
                        value,
                        mine,
                        now -> new Lease(now.owner(), now.holder(), now.renewal(), now.token(), now.spanMs(), true)),
                outcome -> ended(outcome instanceof ProposalOutcome.Done ? "released" : "unclear"));
    }

    private void ended(final String why) {
        seen = null;
        looked = false;
        final boolean stopping = stopped != null;
        change(stopping ? State.STOPPED : State.WATCHING, why);
        execution = null;
        if (stopping) {
            stopped.run();
        }
    }

    private Runnable stopped;

    /** Gives the duty up for good, and tells when that is done. */
    public void stop(final Runnable done) {
        stopped = done;
        if (state == State.HOLDING) {
            release("stop");
        } else if (state != State.RELEASING) {
            change(State.STOPPED, "stop");
            done.run();
        }
    }
}
