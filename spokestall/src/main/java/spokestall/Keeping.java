package spokestall;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import spokestall.ballot.Guard;
import spokestall.ballot.Voters;
import spokestall.duty.Sealed;
import spokestall.edge.Claim;
import spokestall.feed.Versions;
import spokestall.time.FleetClock;
import spokestall.wire.Codec;

/** Which register keys the voters keep, and for how long; what was let go can't be made anew. */
final class Keeping implements Guard {
    private static final double FILLED_SHARE = 0.7;
    private final BooleanSupplier ready;
    private final FleetClock fleet;
    private final DoubleSupplier fill;
    private final long claimKeepMs;
    private final long marginMs;
    private final long windowMs;
    private final Supplier<Voters> voters;
    private final LongSupplier policyFloor;
    private final LongSupplier snapshotDown;

    Keeping(
            final BooleanSupplier ready,
            final FleetClock fleet,
            final long claimKeepMs,
            final long marginMs,
            final long windowMs,
            final Supplier<Voters> voters,
            final LongSupplier policyFloor,
            final LongSupplier snapshotDown,
            final DoubleSupplier fill) {
        this.ready = ready;
        this.fill = fill;
        this.fleet = fleet;
        this.claimKeepMs = claimKeepMs;
        this.marginMs = marginMs;
        this.windowMs = windowMs;
        this.voters = voters;
        this.policyFloor = policyFloor;
        this.snapshotDown = snapshotDown;
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public boolean gone(final String key) {
        final long version = Versions.of(key);
        if (version >= 0) {
            return version <= policyFloor.getAsLong() || version < voters.get().firstNumber();
        }
        final long window = Sealed.windowOf(key);
        if (window >= 0) {
            return (window + 1) * windowMs + claimKeepMs < fleet.nowMs();
        }
        return key.startsWith(Voters.KEYS)
                && !key.equals(
                        Voters.key(voters.get().generation(), voters.get().epoch() + 1));
    }

    /** Claims come by the thousand, versions may be large; what keeps the fleet itself going must still fit when they don't. */
    @Override
    public boolean room(final String key) {
        return !Claim.isKey(key) && Versions.of(key) < 0 || fill.getAsDouble() < FILLED_SHARE;
    }

    @Override
    public boolean holds(final long floor) {
        return snapshotDown.getAsLong() >= floor;
    }

    @Override
    public boolean takes(final String key, final byte[] value) {
        if (!Claim.isKey(key) || value == null) {
            return true;
        }
        final Claim claim = Codec.record(value, Claim.class);
        return claim.ticketMs() + claimKeepMs + marginMs / 2 >= fleet.nowMs();
    }

    /** Whether a register may be dropped now: nothing that is let in can still refer to it. */
    boolean over(final String key, final byte[] value) {
        if (Claim.isKey(key)) {
            return value != null
                    && Codec.record(value, Claim.class).claimedMs() + claimKeepMs + marginMs < fleet.nowMs();
        }
        return gone(key);
    }
}
