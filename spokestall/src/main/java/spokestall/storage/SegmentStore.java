package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/**
 * The preallocated segments of a log: files in a process, a simulated disk in tests. All calls, and all callbacks, on the event
 * loop of the log's node.
 */
public interface SegmentStore {
    /** Bytes to be written at an offset of a segment. */
    record Chunk(int segment, int offset, byte[] bytes) {}

    /** Returns the number of segments. */
    int count();

    /** Returns the size of each segment, in bytes. */
    int sizeBytes();

    /** Reads a complete segment; returns null if it can't be read. Blocks. */
    byte[] read(int segment);

    /**
     * Writes chunks and syncs them.
     *
     * @param done gets true after all chunks are written and synced, false if any is not, in which case any part of them may be
     *     written. Called later, or at once before this method returns.
     */
    void commit(List<Chunk> chunks, Consumer<Boolean> done);
}
