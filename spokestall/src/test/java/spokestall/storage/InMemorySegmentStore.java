package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/** In-memory segments that sync each commit immediately. */
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

    /** Writes the first bytes of a chunk, as a torn write does. */
    protected final void write(final Chunk chunk, final int bytes) {
        System.arraycopy(chunk.bytes(), 0, files[chunk.segment()], chunk.offset(), bytes);
    }

    /** Flips bits of a byte, to simulate bit rot. */
    public final void flip(final int segment, final int at, final int bits) {
        files[segment][at] ^= (byte) bits;
    }
}
