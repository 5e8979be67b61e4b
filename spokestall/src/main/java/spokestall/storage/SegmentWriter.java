package spokestall.storage;

import java.util.ArrayList;
import java.util.List;

/**
 * Writer at the head of the log. Encodes appended records as chunks for the next commit, and frees the oldest segment by
 * compaction. The segments form a ring: the head advances to the next segment, which compaction has freed by then. Not
 * thread-safe; owned by one {@link SegmentedLog}.
 */
final class SegmentWriter {
    /** Segments kept free: one commit may advance the head once for its puts and once for compaction. */
    static final int SPARE_SEGMENTS = 2;

    /** Key of a record that has no value and only sets a new floor. */
    private static final String NO_KEY = "";

    private final int segmentBytes;
    private final LiveIndex index;
    /** Sequence number of each segment's first record; zero if the segment is free. */
    private final long[] firstSeq;

    private final List<SegmentStore.Chunk> chunks = new ArrayList<>();
    private final int incarnation;
    private long nextSeq = 1;
    private long floorSeq = 1;
    private int head;
    private int headOffset;

    /** Creates a writer for an empty log, with the head at the first segment. */
    SegmentWriter(final SegmentStore segments, final LiveIndex index, final int incarnation) {
        this.segmentBytes = segments.sizeBytes();
        this.index = index;
        this.firstSeq = new long[segments.count()];
        this.incarnation = incarnation;
        firstSeq[head] = nextSeq;
    }

    /** Creates a writer that continues after a recovered log's last record, and adds the live records to the index. */
    SegmentWriter(final SegmentStore segments, final LiveIndex index, final LogRecovery.Result.Recovered recovered) {
        this.segmentBytes = segments.sizeBytes();
        this.index = index;
        this.firstSeq = new long[segments.count()];
        this.incarnation = recovered.incarnation();
        final LogRecord last = recovered.last().record();
        for (final LogRecord.Located located : recovered.run()) {
            final LogRecord record = located.record();
            if (record.seq() >= last.floorSeq()) {
                if (firstSeq[located.segment()] == 0) {
                    firstSeq[located.segment()] = record.seq();
                }
                index.update(record.key(), record.value(), located.segment(), located.bytes());
            }
        }
        nextSeq = last.seq() + 1;
        floorSeq = last.floorSeq();
        head = recovered.last().segment();
        headOffset = recovered.last().endOffset();
    }

    /** Returns the sequence number of the next record. */
    long nextSeq() {
        return nextSeq;
    }

    /** Returns the segment to which records are appended. */
    int head() {
        return head;
    }

    /** Returns whether a record fits in the rest of the head segment. */
    boolean fitsInHead(final String key, final byte[] value) {
        return headOffset + LogRecord.encodedBytes(key, value) <= segmentBytes;
    }

    /** Returns whether enough segments are free for the head to advance now and once more for compaction. */
    boolean hasSpareSegments() {
        int free = 0;
        for (final long first : firstSeq) {
            free += first == 0 ? 1 : 0;
        }
        return free >= SPARE_SEGMENTS;
    }

    /**
     * Appends a record and adds it to the index. Advances the head if the record doesn't fit in the head segment.
     *
     * @param batchSeq sequence number of the commit's first record
     */
    void append(final String key, final byte[] value, final long batchSeq) {
        final int bytes = LogRecord.encodedBytes(key, value);
        if (headOffset + bytes > segmentBytes) {
            head = (head + 1) % firstSeq.length;
            headOffset = 0;
            firstSeq[head] = nextSeq;
        }
        final LogRecord record = new LogRecord(incarnation, nextSeq++, batchSeq, floorSeq, key, value);
        chunks.add(new SegmentStore.Chunk(head, headOffset, record.encode()));
        headOffset += bytes;
        index.update(key, value, head, bytes);
    }

    /**
     * Frees the oldest segment by appending its live records again. Only the last appended record has the new floor: if the commit
     * is torn, recovery still uses the segment.
     */
    void compactOldest(final long batchSeq) {
        final int oldest = oldest();
        final List<String> keys = index.keysIn(oldest);
        for (int i = 0; i < keys.size() - 1; i++) {
            append(keys.get(i), index.value(keys.get(i)), batchSeq);
        }
        firstSeq[oldest] = 0;
        floorSeq = firstSeq[oldest()];
        final String last = keys.isEmpty() ? NO_KEY : keys.get(keys.size() - 1);
        append(last, index.value(last), batchSeq);
    }

    private int oldest() {
        int oldest = head;
        for (int i = 0; i < firstSeq.length; i++) {
            if (firstSeq[i] > 0 && firstSeq[i] < firstSeq[oldest]) {
                oldest = i;
            }
        }
        return oldest;
    }

    /** Returns the chunks appended since the last {@link #clearChunks}, in the order of the appends. */
    List<SegmentStore.Chunk> chunks() {
        return List.copyOf(chunks);
    }

    /** Removes the pending chunks; called after they are synced. */
    void clearChunks() {
        chunks.clear();
    }
}
