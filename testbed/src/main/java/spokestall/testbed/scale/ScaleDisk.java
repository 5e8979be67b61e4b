package spokestall.testbed.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import spokestall.storage.SegmentStore;

/** A disk in memory that syncs in a millisecond or two and counts what it wrote; it outlives its node's process. */
final class ScaleDisk implements SegmentStore {
    /** Runs something on the node's lane after a while, if that life still lasts. */
    interface Back {
        void after(long waitMs, Runnable what);
    }

    private static final int COUNT = 8;
    private final byte[][] down;
    private final List<Chunk> flying = new ArrayList<>();
    private Back back;
    private long syncs;
    private long bytes;

    ScaleDisk(final int size) {
        this.down = new byte[COUNT][size];
    }

    /** The process is gone or new: what it had written is in the machine's memory and gets down. */
    void incarnation(final Back mine) {
        flying.forEach(this::write);
        flying.clear();
        back = mine;
    }

    long syncs() {
        return syncs;
    }

    long bytesWritten() {
        return bytes;
    }

    @Override
    public int count() {
        return down.length;
    }

    @Override
    public int sizeBytes() {
        return down[0].length;
    }

    @Override
    public byte[] read(final int segment) {
        return down[segment].clone();
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        syncs++;
        chunks.forEach(p -> bytes += p.bytes().length);
        flying.addAll(chunks);
        back.after(1 + syncs % 2, () -> {
            chunks.forEach(this::write);
            flying.removeAll(chunks);
            done.accept(true);
        });
    }

    private void write(final Chunk p) {
        System.arraycopy(p.bytes(), 0, down[p.segment()], p.offset(), p.bytes().length);
    }
}
