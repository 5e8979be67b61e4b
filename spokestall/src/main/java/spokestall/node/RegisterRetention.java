package spokestall.node;

import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.RegisterGuard;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageCodec;
import spokestall.proxy.IdempotencyClaim;
import spokestall.time.FleetClock;
import spokestall.usage.SealedWindow;

/**
 * Decides which registers a core's acceptor keeps, and for how long. A removed register must never be created again,
 * because a different value could then be chosen for it.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class RegisterRetention implements RegisterGuard {
    /**
     * Claims and configuration versions may create new registers only below this fill ratio of the log. The remaining
     * capacity is reserved for all other registers.
     */
    private static final double BULK_MAX_LOG_FILL = 0.7;

    /**
     * How long registers are kept.
     *
     * @param claimKeepMs how long a claim answers repeated requests
     * @param marginMs how much longer a claim is kept, to tolerate clock differences between nodes
     * @param windowMs the length of a usage window
     */
    record Periods(long claimKeepMs, long marginMs, long windowMs) {}

    /** The state of the core that retention depends on. */
    interface CoreState {
        /** Returns whether this core knows enough of the fleet for its other answers to be reliable. */
        boolean ready();

        /** Returns the voters in force. */
        VoterSet voterSet();

        /** Returns the version floor: this core needs no registers of versions up to it. */
        long versionFloor();

        /** Returns the version of the configuration snapshot on this disk, or 0 if there is none. */
        long snapshotVersion();

        /** Returns the fill ratio of the log. */
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

    /**
     * Returns whether the log has capacity for a new register. Claims are numerous and configuration versions may be
     * large, so both must leave capacity for the registers that keep the fleet working.
     */
    @Override
    public boolean hasCapacityFor(final String key) {
        final boolean bulk = IdempotencyClaim.isClaimKey(key) || ConfigurationKeys.versionOf(key) >= 0;
        return !bulk || core.logFill() < BULK_MAX_LOG_FILL;
    }

    @Override
    public boolean hasSnapshotUpTo(final long floor) {
        return core.snapshotVersion() >= floor;
    }

    /** Rejects a claim whose ticket is too old: an earlier claim of the same request may already have been removed. */
    @Override
    public boolean accepts(final String key, final byte[] value) {
        if (!IdempotencyClaim.isClaimKey(key) || value == null) {
            return true;
        }
        final IdempotencyClaim claim = MessageCodec.decodeRecord(value, IdempotencyClaim.class);
        return claim.ticketMs() + periods.claimKeepMs + periods.marginMs / 2 >= fleetClock.nowMs();
    }

    /** Returns whether a register may be removed now, because no request that is still accepted can refer to it. */
    boolean expired(final String key, final byte[] value) {
        if (!IdempotencyClaim.isClaimKey(key)) {
            return isPruned(key);
        }
        if (value == null) {
            return false;
        }
        final IdempotencyClaim claim = MessageCodec.decodeRecord(value, IdempotencyClaim.class);
        return claim.claimedMs() + periods.claimKeepMs + periods.marginMs < fleetClock.nowMs();
    }
}
