package spokestall.node;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.configuration.ConfigurationStore;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.configuration.feed.FeedClient;
import spokestall.consensus.Acceptor;
import spokestall.consensus.Register;
import spokestall.consensus.VoterSet;
import spokestall.message.MessageCodec;
import spokestall.storage.SegmentStore;
import spokestall.storage.SegmentedLog;

/** A core's disk: its voter's registers, which of them are kept, and the configuration's snapshot beside them. */
final class CoreStorage {
    /** How many of the newest changes followers may start from. */
    static final int CONFIGURATION_KEPT = 1024;

    static final String POLICY = "~policy";
    static final String BOOTSTRAP_ACCEPTOR = "~council";
    /** The share of the ring that registers of versions that are in the snapshot may take. */
    private static final double CONFIGURATION_KEPT_SHARE = 0.1;

    private final NodeContext context;
    private final ConfigurationStore configurationStore;
    private final RegisterRetention keeping;
    private boolean configurationDirty;
    private boolean keepingConfiguration;
    private long snapshotDown;
    final SegmentedLog segmentedLog;
    final Acceptor acceptor;

    CoreStorage(
            final NodeContext context,
            final SegmentStore segments,
            final ConfigurationStore configurationStore,
            final Supplier<VoterSet> voterSet,
            final BooleanSupplier ready) {
        this.context = context;
        this.configurationStore = configurationStore;
        this.segmentedLog = new SegmentedLog(segments);
        this.keeping = new RegisterRetention(
                ready,
                context.fleet,
                context.settings().integer("claimKeepMs"),
                context.settings().fractionOf("claimKeepMs", 0.2),
                context.timings().windowMs(),
                voterSet,
                this::floor,
                () -> snapshotDown,
                segmentedLog::fill);
        this.acceptor = new Acceptor(context.name, segmentedLog, context.post, keeping, context.freshDiskId());
    }

    private long floor() {
        return acceptor.floor();
    }

    /** Reads the configuration that this core's disk has. */
    void open() {
        final byte[] stored = acceptor.own(POLICY);
        if (stored != null) {
            final ConfigurationSnapshot snapshot = MessageCodec.decodeRecord(stored, ConfigurationSnapshot.class);
            configurationStore.load(snapshot);
            snapshotDown = snapshot.version();
            raiseFloor();
        }
    }

    /** Whether the voter may give votes now. */
    boolean votes() {
        return acceptor.state() == Acceptor.State.VOTING && keeping.ready();
    }

    /** Marks the disk as one that took part in a bootstrap. */
    void mark(final Runnable then) {
        acceptor.keepOwn(BOOTSTRAP_ACCEPTOR, new byte[0], ok -> {
            if (ok) {
                then.run();
            }
        });
    }

    void configurationMoved() {
        configurationDirty = true;
        storeConfiguration();
    }

    /** The configuration goes to this core's own disk as often as the disk takes it: a core that starts must not read each version
     * since from the others first. */
    private void storeConfiguration() {
        if (!configurationDirty || keepingConfiguration) {
            return;
        }
        configurationDirty = false;
        keepingConfiguration = true;
        final long version = configurationStore.configuration().version();
        acceptor.keepOwn(POLICY, MessageCodec.encodeRecord(configurationStore.snapshot()), ok -> {
            keepingConfiguration = false;
            if (ok) {
                snapshotDown = version;
                raiseFloor();
                storeConfiguration();
            }
        });
    }

    private void raiseFloor() {
        final long bytesMost = (long) (segmentedLog.capacityBytes() * CONFIGURATION_KEPT_SHARE);
        acceptor.raiseFloor(
                ConfigurationKeys.floor(acceptor.registers(), snapshotDown, CONFIGURATION_KEPT, bytesMost),
                this::letVersionsGo);
    }

    /** Below the floor a register is not needed: what it decided is in the snapshot on this disk. */
    private void letVersionsGo() {
        ConfigurationKeys.upTo(acceptor.registers(), acceptor.floor()).forEach(acceptor::drop);
    }

    /** A new generation's first version is chosen by being in the founding. */
    void learnFounded(final FeedClient follower) {
        final VoterSet table = acceptor.voterSet();
        if (table == null
                || acceptor.state() != Acceptor.State.VOTING
                || configurationStore.configuration().version() >= table.firstNumber()) {
            return;
        }
        final Register first = acceptor.registers().get(ConfigurationKeys.key(table.firstNumber()));
        if (first != null && first.value() != null) {
            follower.learn(table.firstNumber(), first.value());
        }
    }

    /** Drops the registers that nothing refers to any more. */
    void tidy() {
        if (acceptor.state() != Acceptor.State.VOTING || !context.fleet.settled()) {
            return;
        }
        final List<String> over = new ArrayList<>();
        acceptor.registers().forEach((key, register) -> {
            if (keeping.over(key, register.value())) {
                over.add(key);
            }
        });
        over.forEach(acceptor::drop);
    }
}
