package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/** A disk in memory that syncs each commit at once. */
public class InMemorySegmentStore implements SegmentStore {
    private final byte[][] files;

    public InMemorySegmentStore(final int count, final int sizeBytes) {
        files = new byte[count][sizeBytes];
    }

    @Override
    public final int count() {
        return files.length;
    }

    @Override
    public final int sizeBytes() {
        return files[0].length;
    }

    @Override
    public final byte[] read(final int segment) {
        return files[segment].clone();
    }

    @Override
    public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
        write(chunks);
        done.accept(true);
    }

    /** Writes complete chunks. */
    protected final void write(final List<Chunk> chunks) {
        chunks.forEach(chunk -> write(chunk, chunk.bytes().length));
    }

    /** Writes the beginning of a chunk, as a power loss may leave it. */
    protected final void write(final Chunk chunk, final int bytes) {
        System.arraycopy(chunk.bytes(), 0, files[chunk.segment()], chunk.offset(), bytes);
    }

    /** Flips some bits of a byte, as a decaying disk does. */
    public final void flip(final int segment, final int at, final int bits) {
        files[segment][at] ^= (byte) bits;
    }
}
