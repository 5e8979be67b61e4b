package spokestall.storage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A durable key-value table, stored as a log in a ring of preallocated segments.
 *
 * <p>Commits: a put is reported as synced only after its record and every earlier record are written and synced. One commit is in
 * flight at a time; the next commit writes all puts that arrive meanwhile. If the disk refuses a commit, {@link #retry} submits
 * the same bytes at the same offsets again. None of its puts is reported until the disk accepts it.
 *
 * <p>Recovery: a torn tail is discarded; this loses only puts that were not reported as synced. If a synced record is missing or
 * damaged, the log starts {@link #blank} instead of with incomplete data, and its owner must treat the disk as lost. See {@link
 * LogRecovery} and, for the format, {@link LogRecord}.
 *
 * <p>Compaction: when too few segments are free, a commit also frees the oldest segment by appending its live records again.
 *
 * <p>Not thread-safe; all calls, and the callbacks of the {@link SegmentStore}, run on the node's event loop. Values are not
 * copied: callers must not modify arrays that they pass to or receive from the log.
 */
public final class SegmentedLog {
    /** Operating state of the log. The constants' names are part of replies to operators. */
    public enum State {
        /** Puts are accepted. */
        OPEN,
        /** The last put was rejected for lack of capacity; deletions, and puts that fit, are accepted. */
        FULL,
        /** The disk refused a commit; {@link SegmentedLog#retry} submits it again. Puts are queued meanwhile. */
        REFUSING,
        /** A segment could not be read at start; all puts are rejected. */
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

    /** Maximum number of puts queued while the disk refuses a commit; further puts are rejected. */
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

    /** Reads the segments and recovers the live entries. Blocks. */
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

    /** Returns whether recovery found no usable records at start: the disk is new, unreadable, or lost synced records. */
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
            throw new IllegalStateException("invalid log state transition from " + state + " to " + next);
        }
        state = next;
    }

    /** Returns whether the disk accepts writes, judging by the start and the last finished commit. */
    public boolean canWrite() {
        return state == State.OPEN || state == State.FULL;
    }

    /** Resubmits the commit that the disk refused. Does nothing if there is none. */
    public void retry() {
        if (state == State.REFUSING && !committing) {
            submit();
        }
    }

    /** Returns the number of commits synced since start. */
    public long commits() {
        return commits;
    }

    /** Returns the sequence number of the newest synced record; zero in an empty log. */
    public long syncedSeq() {
        return syncedSeq;
    }

    /** Returns the ratio of the live records' charge to {@link #capacityBytes}. */
    public double fill() {
        return (double) index.chargedBytes() / capacityBytes();
    }

    /** Returns a read-only view of all live entries, including those whose commit is in flight. */
    public Map<String, byte[]> table() {
        return index.table();
    }

    /**
     * Puts a value, or deletes the key if the value is null. {@link #table} includes the change once its commit is submitted.
     *
     * @param done receives true after the record is synced, or false at once if the put is rejected because the log is full,
     *     broken, or has too many queued puts. Not called if the process ends before the sync.
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
     * Returns the capacity for live records, in bytes. The head leaves a segment when the next record doesn't fit, so the unused
     * end is smaller than that record. Hence k full segments hold at least k * size minus the sizes of the records that come first
     * in a segment. Because records larger than a quarter of a segment are charged twice, live records whose charges add up to
     * three quarters of the segments' bytes always fit.
     */
    public long capacityBytes() {
        return (long) (segments.count() - SegmentWriter.SPARE_SEGMENTS - 1) * segments.sizeBytes() * 3 / 4;
    }

    /**
     * Writes queued puts in one commit. A commit advances the head at most once for puts and once for compaction, and only to
     * segments that were free before it: recovery still needs the segment that this commit frees if the commit is torn.
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
