package spokestall.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A table of keys and values, stored as a log in a ring of preallocated segments.
 *
 * <p>Commits: a put is reported as synced only after its record, and every record before it, is written and synced. One commit
 * is in flight at a time; puts that arrive meanwhile are written together by the next one. What the disk refuses is
 * submitted again, the same bytes at the same offsets, until the disk accepts it; until then none of these puts is reported.
 *
 * <p>Recovery: a torn tail is cut, which loses puts only that were not reported. Where a record that had been synced is missing
 * or damaged, the log is {@link #blank} rather than wrong, and its owner has to treat the disk as lost. See {@link LogRecovery}
 * and, for the format, {@link LogRecord}.
 *
 * <p>Compaction: when too few segments are free, the oldest is freed by appending its live records again in the same commit.
 *
 * <p>Not thread-safe; all calls, and the callbacks of its {@link SegmentStore}, on the node's event loop. Values are not copied:
 * callers must not change the arrays that they pass or are given.
 */
public final class SegmentedLog {
    /** What the log can do. The names are part of operators' replies. */
    public enum State {
        /** Puts are accepted. */
        OPEN,
        /** The last put was rejected for lack of capacity; deletions, and puts that fit, are accepted. */
        FULL,
        /** The disk refused a commit, which is submitted again on {@link SegmentedLog#retry}; puts are queued. */
        REFUSING,
        /** The segments could not be read at start; all puts are rejected. */
        BROKEN;

        private boolean mayBecome(final State next) {
            return switch (this) {
                case OPEN -> next != OPEN;
                case FULL -> next == OPEN || next == REFUSING;
                case REFUSING -> next == OPEN;
                case BROKEN -> false;
            };
        }
    }

    /** Puts that are queued while the disk refuses a commit; further ones are rejected. */
    private static final int MAX_QUEUED_WHILE_REFUSING = 4096;

    private record Put(String key, byte[] value, Consumer<Boolean> done) {}

    private final SegmentStore segments;
    private final LiveIndex index;
    private final SegmentWriter writer;
    private final boolean blank;
    private final ArrayDeque<Put> queued = new ArrayDeque<>();
    /** The puts of the commit in flight. */
    private final List<Put> batch = new ArrayList<>();

    private State state = State.OPEN;
    private boolean committing;
    private long commits;
    private long syncedSeq;

    /** Reads the segments and recovers the live entries. */
    public SegmentedLog(final SegmentStore segments) {
        this.segments = segments;
        this.index = new LiveIndex(segments.count(), segments.sizeBytes());
        final LogRecovery.Result found = LogRecovery.recover(segments);
        blank = !(found instanceof LogRecovery.Result.Recovered);
        if (found instanceof LogRecovery.Result.Recovered recovered) {
            writer = new SegmentWriter(segments, index, recovered);
            syncedSeq = recovered.last().record().seq();
        } else if (found instanceof LogRecovery.Result.Blank empty) {
            writer = new SegmentWriter(segments, index, empty.incarnation());
        } else {
            writer = new SegmentWriter(segments, index, 1);
            transition(State.BROKEN);
        }
    }

    /** Returns whether nothing valid was found at start: a new disk, or one that lost synced records. */
    public boolean blank() {
        return blank;
    }

    /** Returns the log's state. */
    public State state() {
        return state;
    }

    private void transition(final State next) {
        if (next == state) {
            return;
        }
        if (!state.mayBecome(next)) {
            throw new IllegalStateException("a log that is " + state + " can't become " + next);
        }
        state = next;
    }

    /** Returns whether the disk accepts writes, as far as is known. */
    public boolean canWrite() {
        return state == State.OPEN || state == State.FULL;
    }

    /** Submits again what the disk refused. Does nothing if nothing was refused. */
    public void retry() {
        if (state == State.REFUSING && !committing) {
            submit();
        }
    }

    /** Returns the number of commits that were synced since start. */
    public long commits() {
        return commits;
    }

    /** Returns the sequence number of the newest record that is synced, zero in an empty log. */
    public long syncedSeq() {
        return syncedSeq;
    }

    /** Returns what live records take of {@link #capacityBytes}, as a ratio. */
    public double fill() {
        return (double) index.chargedBytes() / capacityBytes();
    }

    /** Returns a read-only view of all live entries, including those whose commit is in flight. */
    public Map<String, byte[]> table() {
        return index.table();
    }

    /**
     * Puts a value, or deletes the key if the value is null. The table shows it once its commit is submitted.
     *
     * @param done gets true after the record is synced, or false at once if the put is rejected: the log is full, broken, or has
     *     too many puts queued. It isn't called if the process ends before.
     */
    public void put(final String key, final byte[] value, final Consumer<Boolean> done) {
        final boolean queueFull = state == State.REFUSING && queued.size() >= MAX_QUEUED_WHILE_REFUSING;
        if (state == State.BROKEN || queueFull || value != null && !hasCapacityFor(key, value)) {
            done.accept(false);
            return;
        }
        queued.add(new Put(key, value, done));
        if (!committing && state != State.REFUSING) {
            commit();
        }
    }

    private boolean hasCapacityFor(final String key, final byte[] value) {
        final int bytes = LogRecord.encodedBytes(key, value);
        final boolean fits = bytes <= segments.sizeBytes() && index.chargedBytesWith(key, bytes) <= capacityBytes();
        if (canWrite()) {
            transition(fits ? State.OPEN : State.FULL);
        }
        return fits;
    }

    /**
     * Returns how many bytes of live records fit. The head leaves a segment when the next record doesn't fit, with less unused
     * than that record has bytes. So k segments written from end to end hold k * size - (the records that came first in a
     * segment) or more; with records of up to a quarter of a segment counted once and larger ones twice, three quarters of the
     * segments' bytes are enough.
     */
    public long capacityBytes() {
        return (long) (segments.count() - SegmentWriter.SPARE_SEGMENTS - 1) * segments.sizeBytes() * 3 / 4;
    }

    /**
     * Writes queued puts in one commit. It advances to a further segment at most once for puts and once for compaction, and only
     * to segments that were free before it: what it frees itself is still needed if it is torn.
     */
    private void commit() {
        final long batchSeq = writer.nextSeq();
        final boolean mayAdvance = writer.hasSpareSegments();
        final int headBefore = writer.head();
        int batchBytes = 0;
        while (!queued.isEmpty()
                && batchBytes < segments.sizeBytes() / 2
                && (fitsInHead(queued.peek()) || mayAdvance && writer.head() == headBefore)) {
            final Put put = queued.poll();
            batch.add(put);
            batchBytes += LogRecord.encodedBytes(put.key, put.value);
            writer.append(put.key, put.value, batchSeq);
        }
        if (!writer.hasSpareSegments()) {
            writer.compactOldest(batchSeq);
        }
        submit();
    }

    private boolean fitsInHead(final Put put) {
        return writer.fitsInHead(put.key, put.value);
    }

    private void submit() {
        committing = true;
        segments.commit(writer.chunks(), this::onCommitResult);
    }

    private void onCommitResult(final boolean synced) {
        committing = false;
        if (synced) {
            onCommitted();
        } else {
            transition(State.REFUSING);
        }
    }

    private void onCommitted() {
        commits++;
        syncedSeq = writer.nextSeq() - 1;
        if (state == State.REFUSING) {
            transition(State.OPEN);
        }
        final List<Put> synced = List.copyOf(batch);
        batch.clear();
        writer.clearChunks();
        for (final Put put : synced) {
            put.done.accept(true);
        }
        if (!committing && !queued.isEmpty()) {
            commit();
        }
    }
}
