package spokestall.node;

import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.Acceptor;
import spokestall.message.MessageCodec;

/**
 * Stores a snapshot of the configuration on a core's own disk, so that a restarted core need not first fetch every
 * version from other cores. Versions that the snapshot contains need no registers of their own, so their registers are
 * removed.
 *
 * <p>Not thread-safe; all calls on the node's event loop. At most one write is in flight; a register is removed only
 * after the snapshot that contains its version is synced.
 */
final class SnapshotStore {
    /** The acceptor's local record of the snapshot. Part of the stored format. */
    static final String KEY = "~policy";
    /** The part of the log that registers of versions contained in the snapshot may occupy, as a ratio. */
    private static final double VERSIONS_RATIO = 0.1;

    private enum State {
        IDLE,
        WRITING,
        /** A newer configuration was applied after the write in flight began. */
        WRITING_OUTDATED
    }

    private final Acceptor acceptor;
    private final ConfigurationStore configurationStore;
    private final int versionsKept;
    private final long versionsMaxBytes;
    private State state = State.IDLE;
    private long storedVersion;

    /**
     * Creates a store that keeps the registers of at most {@code versionsKept} versions, for feed clients that are only
     * slightly behind.
     */
    SnapshotStore(
            final Acceptor acceptor,
            final ConfigurationStore configurationStore,
            final int versionsKept,
            final long logCapacityBytes) {
        this.acceptor = acceptor;
        this.configurationStore = configurationStore;
        this.versionsKept = versionsKept;
        this.versionsMaxBytes = (long) (logCapacityBytes * VERSIONS_RATIO);
    }

    /** Loads the configuration from this disk, if there is one. */
    void load() {
        final byte[] stored = acceptor.localRecord(KEY);
        if (stored != null) {
            final ConfigurationSnapshot snapshot = MessageCodec.decodeRecord(stored, ConfigurationSnapshot.class);
            configurationStore.load(snapshot);
            storedVersion = snapshot.version();
            raiseFloor();
        }
    }

    /** Returns the version of the newest synced snapshot, or 0 before the first. */
    long storedVersion() {
        return storedVersion;
    }

    /** Writes the current configuration, or marks the write in flight as outdated so that another one follows it. */
    void onConfigurationApplied() {
        if (state == State.IDLE) {
            write();
        } else {
            transitionTo(State.WRITING_OUTDATED);
        }
    }

    private void write() {
        transitionTo(State.WRITING);
        final long version = configurationStore.configuration().version();
        acceptor.putLocalRecord(
                KEY, MessageCodec.encodeRecord(configurationStore.snapshot()), synced -> onWritten(version, synced));
    }

    private void onWritten(final long version, final boolean synced) {
        final boolean outdated = state == State.WRITING_OUTDATED;
        transitionTo(State.IDLE);
        // After a failed write the store writes again when the next configuration is applied.
        if (synced) {
            storedVersion = version;
            raiseFloor();
            if (outdated) {
                write();
            }
        }
    }

    private void transitionTo(final State next) {
        assert next != State.WRITING || state == State.IDLE : state;
        assert next != State.WRITING_OUTDATED || state != State.IDLE : state;
        state = next;
    }

    private void raiseFloor() {
        acceptor.raiseVersionFloor(
                ConfigurationKeys.retentionFloor(acceptor.registers(), storedVersion, versionsKept, versionsMaxBytes),
                this::dropVersions);
    }

    /** Removes the registers up to the version floor: the snapshot on this disk contains the values chosen for them. */
    private void dropVersions() {
        ConfigurationKeys.keysUpTo(acceptor.registers(), acceptor.versionFloor())
                .forEach(acceptor::removeRegister);
    }
}
