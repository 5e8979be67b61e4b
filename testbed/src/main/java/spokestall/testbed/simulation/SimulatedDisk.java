package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import spokestall.storage.SegmentStore;

/** A disk that keeps what was synced, may lose or tear what was not, stalls, fails and can be wiped. */
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
    private boolean wiped = true;

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
        throw new IllegalStateException("through a life only");
    }

    /** The same disk as seen by one life of a node: what comes back after its death is dropped. */
    SegmentStore incarnation(final BooleanSupplier alive, final Consumer<Runnable> back, final boolean lies) {
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
                disk.commit(chunks, done, alive, back, lies);
            }
        };
    }

    private void commit(
            final List<Chunk> chunks,
            final Consumer<Boolean> done,
            final BooleanSupplier alive,
            final Consumer<Runnable> back,
            final boolean lies) {
        commits++;
        ackedBeforeSync = lies;
        if (lies) {
            // Says at once that all is down, and gets it down seconds later, as a cache without a battery would.
            unsynced.addAll(chunks);
            sim.after(4000, () -> {
                if (alive.getAsBoolean()) {
                    unsynced.removeAll(chunks);
                    chunks.forEach(p -> System.arraycopy(p.bytes(), 0, synced[p.segment()], p.at(), p.bytes().length));
                }
            });
            sim.after(1, () -> back.accept(() -> done.accept(true)));
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
                chunks.forEach(p -> System.arraycopy(p.bytes(), 0, synced[p.segment()], p.at(), p.bytes().length));
            }
            back.accept(() -> done.accept(ok));
        });
    }

    /** The power goes: each write that was not synced is there whole, in part, or not at all. */
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
            System.arraycopy(p.bytes(), 0, synced[p.segment()], p.at(), kept);
        }
        unsynced.clear();
    }

    /** The process alone goes: what it had written is in the machine's memory and gets down. */
    void loseProcess() {
        unsynced.forEach(p -> System.arraycopy(p.bytes(), 0, synced[p.segment()], p.at(), p.bytes().length));
        unsynced.clear();
    }

    /** Neither failing, full nor in a stall. */
    boolean working() {
        return !failing && !full && sim.nowMs() >= stalledUntilMs;
    }

    /** Whether it was wiped and nothing that counts was written since. */
    boolean blank() {
        return wiped;
    }

    /** A voter votes from it again. */
    void markWritten() {
        wiped = false;
    }

    public void wipe() {
        wiped = true;
        unsynced.clear();
        for (int i = 0; i < synced.length; i++) {
            synced[i] = new byte[size];
        }
        failing = false;
        full = false;
    }

    /** All that is on it now. */
    byte[][] copy() {
        final byte[][] copy = new byte[synced.length][];
        for (int i = 0; i < synced.length; i++) {
            copy[i] = synced[i].clone();
        }
        return copy;
    }

    /** Puts it back to what it was. */
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

    /** Turns a byte of what had been synced, as a bad sector would. */
    void corrupt(final int segment, final int at) {
        synced[segment][at] ^= 0x55;
    }

    long commits() {
        return commits;
    }
}
