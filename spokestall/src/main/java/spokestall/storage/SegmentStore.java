package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/**
 * The preallocated segments of a log, in files or, in tests, on a simulated disk. All calls and callbacks run on the event loop
 * of the log's node.
 */
public interface SegmentStore {
    /** Bytes to write at an offset of a segment. */
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
     * @param done receives true after all chunks are written and synced. Receives false if a write or sync fails; any part of the
     *     chunks may be on disk then. Called once, before or after this method returns.
     */
    void commit(List<Chunk> chunks, Consumer<Boolean> done);
}
