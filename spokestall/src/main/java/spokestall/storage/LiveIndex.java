package spokestall.storage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * In-memory index of the log's live entries: each key's newest value and the segment that contains its record. Not thread-safe;
 * owned by one {@link SegmentedLog}.
 */
final class LiveIndex {
    private record Location(int segment, int bytes) {}

    private final int segmentBytes;
    private final Map<String, byte[]> table = new HashMap<>();
    private final Map<String, byte[]> readOnlyTable = Collections.unmodifiableMap(table);
    private final Map<String, Location> locations = new HashMap<>();
    private final List<Set<String>> keysBySegment = new ArrayList<>();
    private long chargedBytes;

    LiveIndex(final int segmentCount, final int segmentBytes) {
        this.segmentBytes = segmentBytes;
        for (int i = 0; i < segmentCount; i++) {
            keysBySegment.add(new HashSet<>());
        }
    }

    /** Returns a read-only view of all live entries. */
    Map<String, byte[]> table() {
        return readOnlyTable;
    }

    byte[] value(final String key) {
        return table.get(key);
    }

    /** Returns the keys whose newest record is in a segment. */
    List<String> keysIn(final int segment) {
        return List.copyOf(keysBySegment.get(segment));
    }

    /** Returns the sum of the live records' charges, in bytes; see {@link SegmentedLog#capacityBytes}. */
    long chargedBytes() {
        return chargedBytes;
    }

    /** Returns the sum of charges, in bytes, if a key's newest record had the given size. */
    long chargedBytesWith(final String key, final int bytes) {
        final Location replaced = locations.get(key);
        return chargedBytes - (replaced == null ? 0 : charge(replaced.bytes)) + charge(bytes);
    }

    /**
     * Returns a record's charge, in bytes. A record larger than a quarter of a segment is charged twice, because it may leave
     * nearly its own size unused at the end of a segment.
     */
    private long charge(final int bytes) {
        return bytes > segmentBytes / 4 ? 2L * bytes : bytes;
    }

    /**
     * Sets a key's newest record and the segment that contains it. A null value removes the key. Compaction doesn't copy deletion
     * records: a deletion comes after every older record of its key, so it is no longer needed once its segment is the oldest.
     */
    void update(final String key, final byte[] value, final int segment, final int bytes) {
        final Location replaced = locations.remove(key);
        if (replaced != null) {
            keysBySegment.get(replaced.segment).remove(key);
            chargedBytes -= charge(replaced.bytes);
        }
        if (value == null) {
            table.remove(key);
            return;
        }
        table.put(key, value);
        locations.put(key, new Location(segment, bytes));
        keysBySegment.get(segment).add(key);
        chargedBytes += charge(bytes);
    }
}
