package spokestall;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import spokestall.ballot.Register;
import spokestall.ballot.Voter;
import spokestall.ballot.Voters;
import spokestall.feed.Follower;
import spokestall.feed.Versions;
import spokestall.policy.Book;
import spokestall.policy.Snapshot;
import spokestall.ring.Ring;
import spokestall.ring.Segments;
import spokestall.wire.Codec;

/** A core's disk: its voter's registers, which of them are kept, and the configuration's snapshot beside them. */
final class CoreStorage {
    /** How many of the newest changes followers may start from. */
    static final int POLICY_KEPT = 1024;

    static final String POLICY = "~policy";
    static final String COUNCIL = "~council";
    /** The share of the ring that registers of versions that are in the snapshot may take. */
    private static final double POLICY_KEPT_SHARE = 0.1;

    private final NodeContext context;
    private final Book book;
    private final Keeping keeping;
    private boolean policyDirty;
    private boolean keepingPolicy;
    private long snapshotDown;
    final Ring ring;
    final Voter voter;

    CoreStorage(
            final NodeContext context,
            final Segments segments,
            final Book book,
            final Supplier<Voters> voters,
            final BooleanSupplier ready) {
        this.context = context;
        this.book = book;
        this.ring = new Ring(segments);
        this.keeping = new Keeping(
                ready,
                context.fleet,
                context.settings().ms("claimKeepMs"),
                context.settings().part("claimKeepMs", 0.2),
                context.paces().windowMs(),
                voters,
                this::floor,
                () -> snapshotDown,
                ring::fill);
        this.voter = new Voter(context.name, ring, context.post, keeping, context.freshDiskId());
    }

    private long floor() {
        return voter.floor();
    }

    /** Reads the configuration that this core's disk has. */
    void open() {
        final byte[] stored = voter.own(POLICY);
        if (stored != null) {
            final Snapshot snapshot = Codec.record(stored, Snapshot.class);
            book.load(snapshot);
            snapshotDown = snapshot.version();
            raiseFloor();
        }
    }

    /** Whether the voter may give votes now. */
    boolean votes() {
        return voter.state() == Voter.State.VOTING && keeping.ready();
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
        voter.keepOwn(POLICY, Codec.bytes(book.snapshot()), ok -> {
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
        voter.raiseFloor(Versions.floor(voter.registers(), snapshotDown, POLICY_KEPT, bytesMost), this::letVersionsGo);
    }

    /** Below the floor a register is not needed: what it decided is in the snapshot on this disk. */
    private void letVersionsGo() {
        Versions.upTo(voter.registers(), voter.floor()).forEach(voter::drop);
    }

    /** A new generation's first version is chosen by being in the founding. */
    void learnFounded(final Follower follower) {
        final Voters table = voter.voters();
        if (table == null
                || voter.state() != Voter.State.VOTING
                || book.policy().version() >= table.firstNumber()) {
            return;
        }
        final Register first = voter.registers().get(Versions.key(table.firstNumber()));
        if (first != null && first.value() != null) {
            follower.learn(table.firstNumber(), first.value());
        }
    }

    /** Drops the registers that nothing refers to any more. */
    void tidy() {
        if (voter.state() != Voter.State.VOTING || !context.fleet.settled()) {
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
