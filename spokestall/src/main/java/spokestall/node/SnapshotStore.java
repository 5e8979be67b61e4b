package spokestall.node;

import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.Acceptor;
import spokestall.message.MessageCodec;

/**
 * Stores a snapshot of the configuration on a core's own disk, so that a core that restarts need not read each version since
 * from the others first. Versions that the snapshot contains need no registers of their own, so these are dropped.
 *
 * <p>Not thread-safe; all calls on the node's event loop. One write is in flight at most; a register is dropped only once the
 * snapshot that contains its version is synced.
 */
final class SnapshotStore {
    /** The key of the snapshot among the acceptor's local records. */
    static final String KEY = "~policy";
    /** The ratio of the log that registers of versions that are in the snapshot may take. */
    private static final double VERSIONS_RATIO = 0.1;

    private enum State {
        IDLE,
        WRITING,
        /** A newer configuration was applied since the write in flight began. */
        WRITING_OUTDATED
    }

    private final Acceptor acceptor;
    private final ConfigurationStore configurationStore;
    private final int versionsKept;
    private final long versionsMaxBytes;
    private State state = State.IDLE;
    private long storedVersion;

    /** Keeps the registers of at most {@code versionsKept} versions, for feed clients that are not far behind. */
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

    /** Loads the configuration that this disk has, if any. */
    void load() {
        final byte[] stored = acceptor.localRecord(KEY);
        if (stored != null) {
            final ConfigurationSnapshot snapshot = MessageCodec.decodeRecord(stored, ConfigurationSnapshot.class);
            configurationStore.load(snapshot);
            storedVersion = snapshot.version();
            raiseFloor();
        }
    }

    /** Returns the version of the newest snapshot that is synced, 0 before the first. */
    long storedVersion() {
        return storedVersion;
    }

    /** Writes the configuration as often as the disk takes it. */
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
        // After a failed write the disk is tried again with the next configuration.
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

    /** Below the floor a register is not needed: what it decided is in the snapshot on this disk. */
    private void dropVersions() {
        ConfigurationKeys.keysUpTo(acceptor.registers(), acceptor.versionFloor())
                .forEach(acceptor::removeRegister);
    }
}
