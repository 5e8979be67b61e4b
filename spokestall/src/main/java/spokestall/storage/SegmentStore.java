package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/** The preallocated files under a ring, at the rim: real files in a process, a losing disk in the simulator. */
public interface SegmentStore {
    /** A piece to be written at a place in one file. */
    record Chunk(int segment, int at, byte[] bytes) {}

    /** How many files there are. */
    int count();

    /** The size of each. */
    int sizeBytes();

    /** A file's whole content, or null when it can't be read. */
    byte[] read(int segment);

    /** Writes and syncs, then tells whether all of it is down. */
    void commit(List<Chunk> chunks, Consumer<Boolean> done);
}
