package spokestall.storage;

import java.util.List;
import java.util.function.Consumer;

/** The preallocated files under a ring, at the rim: real files in a process, a losing disk in the simulator. */
public interface SegmentStore {
    /** A piece to be written at a place in one file. */
    record Piece(int segment, int at, byte[] bytes) {}

    /** How many files there are. Example: {@code for (int i = 0; i < segments.count(); i++) ...} */
    int count();

    /** The size of each. Example: {@code if (at + length > segments.sizeBytes()) ...} */
    int sizeBytes();

    /** A file's whole content, or null when it can't be read. Example: {@code byte[] all = segments.read(0);} */
    byte[] read(int segment);

    /** Writes and syncs, then tells whether all of it is down. Example: {@code segments.commit(pieces, ok -> ...);} */
    void commit(List<Piece> pieces, Consumer<Boolean> done);
}
