package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/** A disk in memory on which a commit is down at once. */
public class InMemorySegmentStore implements SegmentStore {
    private final byte[][] files;

    /** Example: {@code new InMemorySegmentStore(8, 1 << 14)} */
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

    /** Puts whole pieces down. */
    protected final void write(final List<Chunk> chunks) {
        chunks.forEach(chunk -> write(chunk, chunk.bytes().length));
    }

    /** Puts the beginning of a piece down, as a loss of power may leave it. */
    protected final void write(final Chunk chunk, final int bytes) {
        System.arraycopy(chunk.bytes(), 0, files[chunk.segment()], chunk.at(), bytes);
    }

    /** Changes some bits of a byte, as a disk that decays. */
    public final void flip(final int segment, final int at, final int bits) {
        files[segment][at] ^= (byte) bits;
    }
}
