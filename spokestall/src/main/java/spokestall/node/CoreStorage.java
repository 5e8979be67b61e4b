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
 * A core's disk: the log, the acceptor whose registers are in it, which of these are retained, and the configuration's snapshot.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class CoreStorage {
    /** How many of the newest versions a feed client can catch up on one by one. */
    static final int VERSIONS_KEPT = 1024;

    /** The key of the mark that this disk took part in a bootstrap, among the acceptor's local records. */
    static final String BOOTSTRAP_MARK_KEY = "~council";
    /** The ratio of {@code claimKeepMs} for which a claim is kept beyond it, against clocks that differ. */
    private static final double CLAIM_MARGIN_RATIO = 0.2;

    private final NodeContext context;
    private final ConfigurationStore configurationStore;
    private final RegisterRetention retention;
    private final SnapshotStore snapshots;
    final SegmentedLog segmentedLog;
    final Acceptor acceptor;

    /** {@code ready} returns whether this core knows enough of the fleet to vote, if its acceptor does. */
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

    /** Reads the configuration that this core's disk has. */
    void open() {
        snapshots.load();
    }

    /** Returns whether the acceptor may promise and accept now. */
    boolean votes() {
        return acceptor.state() == Acceptor.State.VOTING && retention.ready();
    }

    /** Marks the disk as one that took part in a bootstrap; {@code then} runs once that is synced, and not if it fails. */
    void markBootstrapped(final Runnable then) {
        acceptor.putLocalRecord(BOOTSTRAP_MARK_KEY, new byte[0], synced -> {
            if (synced) {
                then.run();
            }
        });
    }

    /** Stores the configuration in force. */
    void onConfigurationApplied() {
        snapshots.onConfigurationApplied();
    }

    /** Applies the first version of a new generation, which is chosen by being in the generation's initial state. */
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

    /** Drops the registers that nothing refers to any more; needs the fleet's time, by which claims and windows expire. */
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
