package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spokestall.storage.SegmentStore;

/** Simulated disk. It keeps synced writes, may lose or tear unsynced ones, and can stall, fail, fill up and be wiped. */
public final class SimulatedDisk implements SegmentStore {
    private final VirtualTime sim;
    private final Random random;
    private final int size;
    private final byte[][] synced;
    private final List<Chunk> unsynced = new ArrayList<>();
    private long stalledUntilMs;
    private long latencyMs = 2;
    private boolean failing;
    private boolean full;
    private boolean ackedBeforeSync;
    private long commits;
    private boolean blank = true;

    SimulatedDisk(final VirtualTime sim, final Random random, final int count, final int size) {
        this.sim = sim;
        this.random = random;
        this.size = size;
        this.synced = new byte[count][size];
    }

    @Override
    public int count() {
        return synced.length;
    }

    @Override
    public int sizeBytes() {
        return size;
    }

    @Override
    public byte[] read(final int segment) {
        return failing ? null : synced[segment].clone();
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        throw new IllegalStateException("commits go through the store of an incarnation");
    }

    /** Returns the store for one incarnation of a node. Completions that are due after the incarnation ended are dropped. */
    SegmentStore incarnation(
            final BooleanSupplier alive, final Consumer<Runnable> onNode, final boolean acksBeforeSync) {
        final SimulatedDisk disk = this;
        return new SegmentStore() {
            @Override
            public int count() {
                return disk.count();
            }

            @Override
            public int sizeBytes() {
                return disk.sizeBytes();
            }

            @Override
            public byte[] read(final int segment) {
                return disk.read(segment);
            }

            @Override
            public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
                disk.commit(chunks, done, alive, onNode, acksBeforeSync);
            }
        };
    }

    private void commit(
            final List<Chunk> chunks,
            final Consumer<Boolean> done,
            final BooleanSupplier alive,
            final Consumer<Runnable> onNode,
            final boolean acksBeforeSync) {
        commits++;
        ackedBeforeSync = acksBeforeSync;
        if (acksBeforeSync) {
            // Acknowledges the commit at once and writes it seconds later, like a disk cache without a battery.
            unsynced.addAll(chunks);
            sim.after(4000, () -> {
                if (alive.getAsBoolean()) {
                    unsynced.removeAll(chunks);
                    chunks.forEach(
                            p -> System.arraycopy(p.bytes(), 0, synced[p.segment()], p.offset(), p.bytes().length));
                }
            });
            sim.after(1, () -> onNode.accept(() -> done.accept(true)));
            return;
        }
        unsynced.addAll(chunks);
        final long waitMs = Math.max(0, stalledUntilMs - sim.nowMs()) + 1 + random.nextInt((int) latencyMs);
        sim.after(waitMs, () -> {
            if (!alive.getAsBoolean()) {
                return;
            }
            final boolean ok = !failing && !full;
            unsynced.removeAll(chunks);
            if (ok) {
                chunks.forEach(p -> System.arraycopy(p.bytes(), 0, synced[p.segment()], p.offset(), p.bytes().length));
            }
            onNode.accept(() -> done.accept(ok));
        });
    }

    /** Simulates a power loss: each unsynced write is kept whole, in part or not at all. */
    void losePower() {
        if (ackedBeforeSync) {
            unsynced.clear();
        }
        for (final Chunk p : unsynced) {
            final int kept = switch (random.nextInt(3)) {
                case 0 -> 0;
                case 1 -> random.nextInt(p.bytes().length + 1);
                default -> p.bytes().length;
            };
            System.arraycopy(p.bytes(), 0, synced[p.segment()], p.offset(), kept);
        }
        unsynced.clear();
    }

    /** Simulates the end of the process alone: the operating system still writes the unsynced data to the disk. */
    void loseProcess() {
        unsynced.forEach(p -> System.arraycopy(p.bytes(), 0, synced[p.segment()], p.offset(), p.bytes().length));
        unsynced.clear();
    }

    /** Returns whether the disk is neither failing, full nor stalled. */
    boolean isWorking() {
        return !failing && !full && sim.nowMs() >= stalledUntilMs;
    }

    /** Returns whether the disk is new or was wiped, and no voter has voted from it since. */
    boolean isBlank() {
        return blank;
    }

    /** Records that a voter votes from this disk, which ends its being blank. */
    void markWritten() {
        blank = false;
    }

    public void wipe() {
        blank = true;
        unsynced.clear();
        for (int i = 0; i < synced.length; i++) {
            synced[i] = new byte[size];
        }
        failing = false;
        full = false;
    }

    /** Returns a copy of the synced contents. */
    byte[][] copy() {
        final byte[][] copy = new byte[synced.length][];
        for (int i = 0; i < synced.length; i++) {
            copy[i] = synced[i].clone();
        }
        return copy;
    }

    /** Restores contents that {@link #copy} returned. */
    void restore(final byte[][] copy) {
        for (int i = 0; i < synced.length; i++) {
            synced[i] = copy[i].clone();
        }
    }

    void stall(final long spanMs) {
        stalledUntilMs = sim.nowMs() + spanMs;
    }

    void setLatency(final long ms) {
        latencyMs = Math.max(1, ms);
    }

    public void setFull(final boolean now) {
        full = now;
    }

    void setFailing(final boolean now) {
        failing = now;
    }

    /** Corrupts one byte of the synced contents, like a bad sector. */
    void corrupt(final int segment, final int at) {
        synced[segment][at] ^= 0x55;
    }

    long commits() {
        return commits;
    }
}
