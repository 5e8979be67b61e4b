package spokestall.storage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The live entries of the log: each key's newest value, and the segment in which its record lies. Not thread-safe; belongs to
 * its {@link SegmentedLog}.
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

    /** Returns the keys whose newest record lies in a segment. */
    List<String> keysIn(final int segment) {
        return List.copyOf(keysBySegment.get(segment));
    }

    /** Returns what live records are charged with, in bytes; see {@link SegmentedLog#capacityBytes}. */
    long chargedBytes() {
        return chargedBytes;
    }

    /** Returns what live records would be charged with if a key's record had so many bytes. */
    long chargedBytesWith(final String key, final int bytes) {
        final Location replaced = locations.get(key);
        return chargedBytes - (replaced == null ? 0 : charge(replaced.bytes)) + charge(bytes);
    }

    /** A record of more than a quarter of a segment counts twice, for the unused end that it may leave in a segment. */
    private long charge(final int bytes) {
        return bytes > segmentBytes / 4 ? 2L * bytes : bytes;
    }

    /**
     * Enters a key's newest record, which lies in a segment. A null value removes the key: the record of the deletion lies
     * behind every older record of the key, so it isn't needed any more once its own segment is the oldest.
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
