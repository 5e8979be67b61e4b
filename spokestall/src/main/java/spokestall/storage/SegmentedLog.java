package spokestall.storage;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.zip.CRC32;

/**
 * A table of keys kept in a ring of preallocated files. Puts that come while a commit is under way go down together
 * in the next one. The oldest file is freed by writing its live records again at the head. A torn tail is cut; a hole
 * in what had been synced makes the ring blank rather than wrong. What the disk refuses to take is written again until it
 * takes it; till then nothing is told as done.
 */
public final class SegmentedLog {
    /** Explicit states of a ring: it takes puts, or refuses some for want of room, or its disk refuses writes and is asked
     * again, or what it holds can't be read. */
    public enum State {
        OPEN,
        FULL,
        REFUSING,
        BROKEN
    }

    private static final int MAGIC = 0x53504b31;
    private static final int HEAD_BYTES = 4 + 4 + 8 + 8 + 8 + 4 + 4;
    private static final int SPARE_SEGMENTS = 2;
    /** Of a record that only carries its numbers. */
    private static final String NO_KEY = "";
    /** Puts that wait for a disk that refuses. */
    private static final int WAITING_MAX = 4096;

    private record Place(int segment, int bytes) {}

    private record Put(String key, byte[] value, Consumer<Boolean> done) {}

    private record Found(
            int segment,
            int from,
            int next,
            int incarnation,
            long seq,
            long batch,
            long floor,
            String key,
            byte[] value) {}

    private final SegmentStore segments;
    private final Map<String, byte[]> table = new HashMap<>();
    private final Map<String, Place> places = new HashMap<>();
    private final List<Set<String>> keysIn = new ArrayList<>();
    private final long[] firstSeq;
    private final ArrayDeque<Put> waiting = new ArrayDeque<>();
    private final List<Put> batch = new ArrayList<>();
    private final List<SegmentStore.Chunk> chunks = new ArrayList<>();
    private State state = State.OPEN;
    private boolean blank = true;
    private boolean committing;
    private int incarnation = 1;
    private long nextSeq = 1;
    private long floorSeq = 1;
    private int head;
    private int at;
    private long charged;
    private long commits;
    private long syncedSeq;

    /** Opens the files and reads what is live. */
    public SegmentedLog(final SegmentStore segments) {
        this.segments = segments;
        this.firstSeq = new long[segments.count()];
        for (int i = 0; i < segments.count(); i++) {
            keysIn.add(new HashSet<>());
        }
        open();
    }

    /** True when nothing valid was found. */
    public boolean blank() {
        return blank;
    }

    /** The ring's state. */
    public State state() {
        return state;
    }

    /** Whether the disk takes writes, as far as is known. */
    public boolean canWrite() {
        return state == State.OPEN || state == State.FULL;
    }

    /** Writes again what the disk refused: the same bytes at the same places, so it is as if the disk had been slow. */
    public void retry() {
        if (state == State.REFUSING && !committing) {
            submit();
        }
    }

    /** How many commits went down. */
    public long commits() {
        return commits;
    }

    /** The number of the newest record that is synced. */
    public long syncedSeq() {
        return syncedSeq;
    }

    /** What live records take, as a share of what fits. */
    public double fill() {
        return (double) charged / capacityBytes();
    }

    /** All live entries. */
    public Map<String, byte[]> table() {
        return table;
    }

    /** Puts a value, or drops the key when it is null; done tells whether it is synced. */
    public void put(final String key, final byte[] value, final Consumer<Boolean> done) {
        final boolean overdue = state == State.REFUSING && waiting.size() >= WAITING_MAX;
        if (state == State.BROKEN || overdue || value != null && oversize(key, value)) {
            done.accept(false);
            return;
        }
        waiting.add(new Put(key, value, done));
        if (!committing && state != State.REFUSING) {
            commit();
        }
    }

    private boolean oversize(final String key, final byte[] value) {
        final int bytes = recordBytes(key, value);
        final Place had = places.get(key);
        final long hadCharge = had == null ? 0 : charge(had.bytes);
        final boolean full = bytes > segments.sizeBytes() || charged - hadCharge + charge(bytes) > capacityBytes();
        change(full ? State.FULL : State.OPEN);
        return full;
    }

    private void change(final State to) {
        if (state == State.OPEN || state == State.FULL) {
            state = to;
        }
    }

    /**
     * How many bytes of live records fit. A file is left when the next record doesn't fit, with less unused than that record
     * has bytes. So k files written from end to end hold k * size - (the records that came first in a file) or more; with
     * records of up to a quarter of a file counted once and larger ones twice, three quarters of the files' bytes are enough.
     */
    public long capacityBytes() {
        return (long) (segments.count() - SPARE_SEGMENTS - 1) * segments.sizeBytes() * 3 / 4;
    }

    private long charge(final int bytes) {
        return bytes > segments.sizeBytes() / 4 ? 2L * bytes : bytes;
    }

    private static int recordBytes(final String key, final byte[] value) {
        return HEAD_BYTES + 2 + key.getBytes(StandardCharsets.UTF_8).length + 1 + (value == null ? 0 : value.length);
    }

    /**
     * What waits goes down together. A commit goes on to a further file at most once for what is put and once for what is
     * written again, and only to files that were free before it: what it frees itself may still be needed if it is torn.
     */
    private void commit() {
        final long batchSeq = nextSeq;
        final boolean mayAdvance = freeSegments() >= SPARE_SEGMENTS;
        final int from = head;
        int batchBytes = 0;
        while (!waiting.isEmpty()
                && batchBytes < segments.sizeBytes() / 2
                && (fits(waiting.peek()) || mayAdvance && head == from)) {
            final Put put = waiting.poll();
            batch.add(put);
            batchBytes += recordBytes(put.key, put.value);
            write(put.key, put.value, batchSeq);
        }
        if (freeSegments() < SPARE_SEGMENTS) {
            reclaimOldest(batchSeq);
        }
        submit();
    }

    private boolean fits(final Put put) {
        return at + recordBytes(put.key, put.value) <= segments.sizeBytes();
    }

    private void submit() {
        committing = true;
        segments.commit(List.copyOf(chunks), ok -> {
            committing = false;
            if (ok) {
                committed();
            } else {
                state = State.REFUSING;
            }
        });
    }

    private void committed() {
        commits++;
        syncedSeq = nextSeq - 1;
        state = state == State.REFUSING ? State.OPEN : state;
        final List<Put> down = List.copyOf(batch);
        batch.clear();
        chunks.clear();
        for (final Put put : down) {
            put.done.accept(true);
        }
        if (!committing && !waiting.isEmpty()) {
            commit();
        }
    }

    private void write(final String key, final byte[] value, final long batchSeq) {
        final int bytes = recordBytes(key, value);
        if (at + bytes > segments.sizeBytes()) {
            head = (head + 1) % segments.count();
            at = 0;
            firstSeq[head] = nextSeq;
        }
        chunks.add(new SegmentStore.Chunk(head, at, encode(nextSeq++, batchSeq, key, value)));
        at += bytes;
        index(key, value, head, bytes);
    }

    /** Frees the oldest file by writing what lives in it again; the last record tells that it is no longer needed. */
    private void reclaimOldest(final long batchSeq) {
        final int oldest = oldest();
        final List<String> keys = List.copyOf(keysIn.get(oldest));
        for (int i = 0; i < keys.size() - 1; i++) {
            write(keys.get(i), table.get(keys.get(i)), batchSeq);
        }
        firstSeq[oldest] = 0;
        floorSeq = firstSeq[oldest()];
        final String last = keys.isEmpty() ? NO_KEY : keys.get(keys.size() - 1);
        write(last, table.get(last), batchSeq);
    }

    private int freeSegments() {
        int free = 0;
        for (final long first : firstSeq) {
            free += first == 0 ? 1 : 0;
        }
        return free;
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

    private void index(final String key, final byte[] value, final int segment, final int bytes) {
        final Place had = places.remove(key);
        if (had != null) {
            keysIn.get(had.segment).remove(key);
            charged -= charge(had.bytes);
        }
        if (value == null) {
            // The record of the drop lies behind every older record of the key, so it may go when its file is freed.
            table.remove(key);
            return;
        }
        table.put(key, value);
        places.put(key, new Place(segment, bytes));
        keysIn.get(segment).add(key);
        charged += charge(bytes);
    }

    private byte[] encode(final long seq, final long batchSeq, final String key, final byte[] value) {
        try {
            final ByteArrayOutputStream payload = new ByteArrayOutputStream();
            final DataOutputStream out = new DataOutputStream(payload);
            out.writeUTF(key);
            out.writeBoolean(value != null);
            if (value != null) {
                out.write(value);
            }
            final byte[] body = payload.toByteArray();
            final ByteBuffer all = ByteBuffer.allocate(HEAD_BYTES + body.length);
            all.putInt(MAGIC)
                    .putInt(incarnation)
                    .putLong(seq)
                    .putLong(batchSeq)
                    .putLong(floorSeq)
                    .putInt(body.length);
            all.putInt(crc(incarnation, seq, batchSeq, floorSeq, body, 0, body.length))
                    .put(body);
            return all.array();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int crc(
            final int incarnation,
            final long seq,
            final long batch,
            final long floor,
            final byte[] in,
            final int from,
            final int length) {
        final CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(28)
                .putInt(incarnation)
                .putLong(seq)
                .putLong(batch)
                .putLong(floor)
                .flip());
        crc.update(in, from, length);
        return (int) crc.getValue();
    }

    private static Found record(final int segment, final byte[] in, final int from) {
        if (from + HEAD_BYTES > in.length) {
            return null;
        }
        final ByteBuffer b = ByteBuffer.wrap(in, from, in.length - from);
        if (b.getInt() != MAGIC) {
            return null;
        }
        final int incarnation = b.getInt();
        final long seq = b.getLong();
        final long batch = b.getLong();
        final long floor = b.getLong();
        final int length = b.getInt();
        final int crc = b.getInt();
        final int body = from + HEAD_BYTES;
        if (length < 3 || length > in.length - body || crc(incarnation, seq, batch, floor, in, body, length) != crc) {
            return null;
        }
        final int keyBytes = b.getShort() & 0xffff;
        final String key = new String(in, body + 2, keyBytes, StandardCharsets.UTF_8);
        final int valueAt = body + 2 + keyBytes + 1;
        final byte[] value = in[valueAt - 1] == 0 ? null : java.util.Arrays.copyOfRange(in, valueAt, body + length);
        return new Found(segment, from, body + length, incarnation, seq, batch, floor, key, value);
    }

    private void open() {
        final TreeMap<Long, Found> bySeq = new TreeMap<>();
        for (int i = 0; i < segments.count(); i++) {
            final byte[] in = segments.read(i);
            if (in == null) {
                state = State.BROKEN;
                return;
            }
            scan(i, in, bySeq);
        }
        firstSeq[head] = nextSeq;
        final List<List<Found>> runs = runs(bySeq);
        for (int i = runs.size() - 1; i >= 0; i--) {
            final List<Found> run = runs.get(i);
            final Found last = run.get(run.size() - 1);
            if (run.get(0).seq <= last.floor && torn(runs.subList(i + 1, runs.size()), last)) {
                replay(run, last);
                return;
            }
        }
    }

    /** Every whole record of a file, also behind a hole; of two with one number the one of the later life counts. This life
     * is later than any of them, also than one of which only a record behind the cut is left: else that one would follow
     * what this life writes. */
    private void scan(final int segment, final byte[] in, final Map<Long, Found> bySeq) {
        int from = 0;
        while (from + HEAD_BYTES <= in.length) {
            final Found found = in[from] == MAGIC >>> 24 ? record(segment, in, from) : null;
            if (found == null) {
                from++;
            } else {
                incarnation = Math.max(incarnation, found.incarnation + 1);
                bySeq.merge(found.seq, found, (a, b) -> b.incarnation > a.incarnation ? b : a);
                from = found.next;
            }
        }
    }

    /** Records that follow each other without a hole; what an earlier life left behind follows nothing. */
    private static List<List<Found>> runs(final TreeMap<Long, Found> bySeq) {
        final List<List<Found>> runs = new ArrayList<>();
        Found before = null;
        for (final Found found : bySeq.values()) {
            if (before == null || found.seq != before.seq + 1 || found.incarnation < before.incarnation) {
                runs.add(new ArrayList<>());
            }
            runs.get(runs.size() - 1).add(found);
            before = found;
        }
        return runs;
    }

    /** Whether all that lies behind the cut belongs to the commit that was cut, or was left by an earlier life. */
    private static boolean torn(final List<List<Found>> later, final Found last) {
        for (final List<Found> run : later) {
            for (final Found found : run) {
                if (found.incarnation >= last.incarnation && found.batch > last.seq + 1) {
                    return false;
                }
            }
        }
        return true;
    }

    private void replay(final List<Found> run, final Found last) {
        blank = false;
        firstSeq[head] = 0;
        for (final Found found : run) {
            if (found.seq < last.floor) {
                continue;
            }
            if (firstSeq[found.segment] == 0) {
                firstSeq[found.segment] = found.seq;
            }
            index(found.key, found.value, found.segment, found.next - found.from);
        }
        head = last.segment;
        at = last.next;
        nextSeq = last.seq + 1;
        syncedSeq = last.seq;
        floorSeq = last.floor;
    }
}
