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
    static final int POLICY_KEPT = 1024;

    static final String POLICY = "~policy";
    static final String COUNCIL = "~council";
    /** The share of the ring that registers of versions that are in the snapshot may take. */
    private static final double POLICY_KEPT_SHARE = 0.1;

    private final NodeContext context;
    private final ConfigurationStore book;
    private final RegisterRetention keeping;
    private boolean policyDirty;
    private boolean keepingPolicy;
    private long snapshotDown;
    final SegmentedLog ring;
    final Acceptor voter;

    CoreStorage(
            final NodeContext context,
            final SegmentStore segments,
            final ConfigurationStore book,
            final Supplier<VoterSet> voters,
            final BooleanSupplier ready) {
        this.context = context;
        this.book = book;
        this.ring = new SegmentedLog(segments);
        this.keeping = new RegisterRetention(
                ready,
                context.fleet,
                context.settings().ms("claimKeepMs"),
                context.settings().part("claimKeepMs", 0.2),
                context.paces().windowMs(),
                voters,
                this::floor,
                () -> snapshotDown,
                ring::fill);
        this.voter = new Acceptor(context.name, ring, context.post, keeping, context.freshDiskId());
    }

    private long floor() {
        return voter.floor();
    }

    /** Reads the configuration that this core's disk has. */
    void open() {
        final byte[] stored = voter.own(POLICY);
        if (stored != null) {
            final ConfigurationSnapshot snapshot = MessageCodec.record(stored, ConfigurationSnapshot.class);
            book.load(snapshot);
            snapshotDown = snapshot.version();
            raiseFloor();
        }
    }

    /** Whether the voter may give votes now. */
    boolean votes() {
        return voter.state() == Acceptor.State.VOTING && keeping.ready();
    }

    /** Marks the disk as one that took part in a bootstrap. */
    void mark(final Runnable then) {
        voter.keepOwn(COUNCIL, new byte[0], ok -> {
            if (ok) {
                then.run();
            }
        });
    }

    void policyMoved() {
        policyDirty = true;
        storePolicy();
    }

    /** The policy goes to this core's own disk as often as the disk takes it: a core that starts must not read each version
     * since from the others first. */
    private void storePolicy() {
        if (!policyDirty || keepingPolicy) {
            return;
        }
        policyDirty = false;
        keepingPolicy = true;
        final long version = book.policy().version();
        voter.keepOwn(POLICY, MessageCodec.bytes(book.snapshot()), ok -> {
            keepingPolicy = false;
            if (ok) {
                snapshotDown = version;
                raiseFloor();
                storePolicy();
            }
        });
    }

    private void raiseFloor() {
        final long bytesMost = (long) (ring.capacityBytes() * POLICY_KEPT_SHARE);
        voter.raiseFloor(
                ConfigurationKeys.floor(voter.registers(), snapshotDown, POLICY_KEPT, bytesMost), this::letVersionsGo);
    }

    /** Below the floor a register is not needed: what it decided is in the snapshot on this disk. */
    private void letVersionsGo() {
        ConfigurationKeys.upTo(voter.registers(), voter.floor()).forEach(voter::drop);
    }

    /** A new generation's first version is chosen by being in the founding. */
    void learnFounded(final FeedClient follower) {
        final VoterSet table = voter.voters();
        if (table == null
                || voter.state() != Acceptor.State.VOTING
                || book.policy().version() >= table.firstNumber()) {
            return;
        }
        final Register first = voter.registers().get(ConfigurationKeys.key(table.firstNumber()));
        if (first != null && first.value() != null) {
            follower.learn(table.firstNumber(), first.value());
        }
    }

    /** Drops the registers that nothing refers to any more. */
    void tidy() {
        if (voter.state() != Acceptor.State.VOTING || !context.fleet.settled()) {
            return;
        }
        final List<String> over = new ArrayList<>();
        voter.registers().forEach((key, register) -> {
            if (keeping.over(key, register.value())) {
                over.add(key);
            }
        });
        over.forEach(voter::drop);
    }
}
