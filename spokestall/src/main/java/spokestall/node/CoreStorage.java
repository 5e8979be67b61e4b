package spokestall.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Acceptor;
import spokestall.consensus.Register;
import spokestall.consensus.VoterSet;
import spokestall.storage.SegmentStore;
import spokestall.storage.SegmentedLog;

/**
 * A core's disk: the log, the acceptor whose registers are stored in the log, the retention of these registers, and the
 * snapshot of the configuration.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class CoreStorage {
    /**
     * How many of the newest configuration versions are kept, so that a feed client that is behind can fetch them one
     * by one.
     */
    static final int VERSIONS_KEPT = 1024;

    /**
     * The acceptor's local record that marks this disk as one that took part in a bootstrap. Part of the stored format.
     */
    static final String BOOTSTRAP_MARK_KEY = "~council";
    /** Claims are kept for this ratio of {@code claimKeepMs} longer, to tolerate clock differences between nodes. */
    private static final double CLAIM_MARGIN_RATIO = 0.2;

    private final NodeContext context;
    private final ConfigurationStore configurationStore;
    private final RegisterRetention retention;
    private final SnapshotStore snapshots;
    final SegmentedLog segmentedLog;
    final Acceptor acceptor;

    /**
     * Creates the storage of a core.
     *
     * @param voterSet returns the voters in force
     * @param ready returns whether this core knows enough of the fleet to vote, provided that its acceptor may vote
     */
    CoreStorage(
            final NodeContext context,
            final SegmentStore segments,
            final ConfigurationStore configurationStore,
            final Supplier<VoterSet> voterSet,
            final BooleanSupplier ready) {
        this.context = context;
        this.configurationStore = configurationStore;
        this.segmentedLog = new SegmentedLog(segments);
        this.retention = new RegisterRetention(
                new RegisterRetention.Periods(
                        context.settings().integer("claimKeepMs"),
                        context.settings().fractionOf("claimKeepMs", CLAIM_MARGIN_RATIO),
                        context.timings().windowMs()),
                context.fleetClock,
                new RetentionState(voterSet, ready));
        this.acceptor =
                new Acceptor(context.name, segmentedLog, context.messageSender, retention, context.freshDiskId());
        this.snapshots = new SnapshotStore(acceptor, configurationStore, VERSIONS_KEPT, segmentedLog.capacityBytes());
    }

    private final class RetentionState implements RegisterRetention.CoreState {
        private final Supplier<VoterSet> voterSet;
        private final BooleanSupplier ready;

        RetentionState(final Supplier<VoterSet> voterSet, final BooleanSupplier ready) {
            this.voterSet = voterSet;
            this.ready = ready;
        }

        @Override
        public boolean ready() {
            return ready.getAsBoolean();
        }

        @Override
        public VoterSet voterSet() {
            return voterSet.get();
        }

        @Override
        public long versionFloor() {
            return acceptor.versionFloor();
        }

        @Override
        public long snapshotVersion() {
            return snapshots.storedVersion();
        }

        @Override
        public double logFill() {
            return segmentedLog.fill();
        }
    }

    /** Loads the configuration from this core's disk. */
    void open() {
        snapshots.load();
    }

    /** Returns whether the acceptor may promise and accept now. */
    boolean votes() {
        return acceptor.state() == Acceptor.State.VOTING && retention.ready();
    }

    /**
     * Marks the disk as one that took part in a bootstrap. Runs {@code then} once the mark is synced, and never if
     * writing it fails.
     */
    void markBootstrapped(final Runnable then) {
        acceptor.putLocalRecord(BOOTSTRAP_MARK_KEY, new byte[0], synced -> {
            if (synced) {
                then.run();
            }
        });
    }

    /** Stores the current configuration on disk. */
    void onConfigurationApplied() {
        snapshots.onConfigurationApplied();
    }

    /**
     * Applies the first configuration version of a new generation. This version is chosen because it is part of the
     * generation's initial state.
     */
    void applyFirstVersion(final FeedClient feedClient) {
        final VoterSet voterSet = acceptor.voterSet();
        if (voterSet == null
                || acceptor.state() != Acceptor.State.VOTING
                || configurationStore.configuration().version() >= voterSet.firstNumber()) {
            return;
        }
        final Register first = acceptor.registers().get(ConfigurationKeys.keyOf(voterSet.firstNumber()));
        if (first != null && first.value() != null) {
            feedClient.applyChosen(voterSet.firstNumber(), first.value());
        }
    }

    /**
     * Removes the registers that nothing can refer to any more. Does nothing until the fleet clock has settled, because
     * claims and usage windows expire by the fleet's time.
     */
    void pruneRegisters() {
        if (acceptor.state() != Acceptor.State.VOTING || !context.fleetClock.settled()) {
            return;
        }
        final List<String> expired = new ArrayList<>();
        acceptor.registers().forEach((key, register) -> {
            if (retention.expired(key, register.value())) {
                expired.add(key);
            }
        });
        expired.forEach(acceptor::removeRegister);
    }
}
