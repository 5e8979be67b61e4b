package spokestall.node;

import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.RegisterGuard;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageCodec;
import spokestall.proxy.IdempotencyClaim;
import spokestall.time.FleetClock;
import spokestall.usage.SealedWindow;

/** Which register keys the voters keep, and for how long; what was let go can't be made anew. */
final class RegisterRetention implements RegisterGuard {
    private static final double FILLED_SHARE = 0.7;
    private final BooleanSupplier ready;
    private final FleetClock fleet;
    private final DoubleSupplier fill;
    private final long claimKeepMs;
    private final long marginMs;
    private final long windowMs;
    private final Supplier<VoterSet> voterSet;
    private final LongSupplier configurationFloor;
    private final LongSupplier snapshotDown;

    RegisterRetention(
            final BooleanSupplier ready,
            final FleetClock fleet,
            final long claimKeepMs,
            final long marginMs,
            final long windowMs,
            final Supplier<VoterSet> voterSet,
            final LongSupplier configurationFloor,
            final LongSupplier snapshotDown,
            final DoubleSupplier fill) {
        this.ready = ready;
        this.fill = fill;
        this.fleet = fleet;
        this.claimKeepMs = claimKeepMs;
        this.marginMs = marginMs;
        this.windowMs = windowMs;
        this.voterSet = voterSet;
        this.configurationFloor = configurationFloor;
        this.snapshotDown = snapshotDown;
    }

    @Override
    public boolean ready() {
        return ready.getAsBoolean();
    }

    @Override
    public boolean gone(final String key) {
        final long version = ConfigurationKeys.of(key);
        if (version >= 0) {
            return version <= configurationFloor.getAsLong()
                    || version < voterSet.get().firstNumber();
        }
        final long window = SealedWindow.windowOf(key);
        if (window >= 0) {
            return (window + 1) * windowMs + claimKeepMs < fleet.nowMs();
        }
        return key.startsWith(VoterSet.KEYS)
                && !key.equals(
                        VoterSet.key(voterSet.get().generation(), voterSet.get().epoch() + 1));
    }

    /** Claims come by the thousand, versions may be large; what keeps the fleet itself going must still fit when they don't. */
    @Override
    public boolean room(final String key) {
        return !IdempotencyClaim.isKey(key) && ConfigurationKeys.of(key) < 0 || fill.getAsDouble() < FILLED_SHARE;
    }

    @Override
    public boolean holds(final long floor) {
        return snapshotDown.getAsLong() >= floor;
    }

    @Override
    public boolean takes(final String key, final byte[] value) {
        if (!IdempotencyClaim.isKey(key) || value == null) {
            return true;
        }
        final IdempotencyClaim claim = MessageCodec.decodeRecord(value, IdempotencyClaim.class);
        return claim.ticketMs() + claimKeepMs + marginMs / 2 >= fleet.nowMs();
    }

    /** Whether a register may be dropped now: nothing that is let in can still refer to it. */
    boolean over(final String key, final byte[] value) {
        if (IdempotencyClaim.isKey(key)) {
            return value != null
                    && MessageCodec.decodeRecord(value, IdempotencyClaim.class).claimedMs() + claimKeepMs + marginMs
                            < fleet.nowMs();
        }
        return gone(key);
    }
}
