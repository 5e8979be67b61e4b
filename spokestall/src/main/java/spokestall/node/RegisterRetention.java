package spokestall.node;

import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.RegisterGuard;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageCodec;
import spokestall.proxy.IdempotencyClaim;
import spokestall.time.FleetClock;
import spokestall.usage.SealedWindow;

/**
 * Decides which registers a core's acceptor keeps, and for how long. A register that was dropped must not be created anew, or
 * what it had decided could be decided again.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class RegisterRetention implements RegisterGuard {
    /** Up to this fill of the log claims and configuration versions may take new registers; the rest is for all else. */
    private static final double BULK_MAX_LOG_FILL = 0.7;

    /**
     * How long registers are kept.
     *
     * @param claimKeepMs for how long a claim answers a repeated request
     * @param marginMs for how much longer it is kept, against clocks that differ
     * @param windowMs the length of a usage window
     */
    record Periods(long claimKeepMs, long marginMs, long windowMs) {}

    /** The state of the core that retention depends on. */
    interface CoreState {
        /** Returns whether this core knows enough of the fleet for the answers to be relied on. */
        boolean ready();

        /** Returns the voters in force. */
        VoterSet voterSet();

        /** Returns the version up to which this core needs no registers of versions. */
        long versionFloor();

        /** Returns the version of the configuration snapshot on this disk, 0 if there is none. */
        long snapshotVersion();

        /** Returns how full the log is, as a ratio. */
        double logFill();
    }

    private final Periods periods;
    private final FleetClock fleetClock;
    private final CoreState core;

    RegisterRetention(final Periods periods, final FleetClock fleetClock, final CoreState core) {
        this.periods = periods;
        this.fleetClock = fleetClock;
        this.core = core;
    }

    @Override
    public boolean ready() {
        return core.ready();
    }

    @Override
    public boolean isPruned(final String key) {
        final long version = ConfigurationKeys.versionOf(key);
        if (version >= 0) {
            return version <= core.versionFloor() || version < core.voterSet().firstNumber();
        }
        final long window = SealedWindow.windowOf(key);
        if (window >= 0) {
            return (window + 1) * periods.windowMs + periods.claimKeepMs < fleetClock.nowMs();
        }
        final VoterSet voterSet = core.voterSet();
        return key.startsWith(VoterSet.KEY_PREFIX)
                && !key.equals(VoterSet.key(voterSet.generation(), voterSet.epoch() + 1));
    }

    /** Claims come in large numbers and versions may be large, so they must leave capacity for what keeps the fleet going. */
    @Override
    public boolean hasCapacityFor(final String key) {
        final boolean bulk = IdempotencyClaim.isKey(key) || ConfigurationKeys.versionOf(key) >= 0;
        return !bulk || core.logFill() < BULK_MAX_LOG_FILL;
    }

    @Override
    public boolean hasSnapshotUpTo(final long floor) {
        return core.snapshotVersion() >= floor;
    }

    /** A claim whose ticket is too old is not accepted: the claim that it repeats may be dropped already. */
    @Override
    public boolean accepts(final String key, final byte[] value) {
        if (!IdempotencyClaim.isKey(key) || value == null) {
            return true;
        }
        final IdempotencyClaim claim = MessageCodec.decodeRecord(value, IdempotencyClaim.class);
        return claim.ticketMs() + periods.claimKeepMs + periods.marginMs / 2 >= fleetClock.nowMs();
    }

    /** Returns whether a register may be dropped now: nothing that is still accepted can refer to it. */
    boolean expired(final String key, final byte[] value) {
        if (!IdempotencyClaim.isKey(key)) {
            return isPruned(key);
        }
        if (value == null) {
            return false;
        }
        final IdempotencyClaim claim = MessageCodec.decodeRecord(value, IdempotencyClaim.class);
        return claim.claimedMs() + periods.claimKeepMs + periods.marginMs < fleetClock.nowMs();
    }
}
