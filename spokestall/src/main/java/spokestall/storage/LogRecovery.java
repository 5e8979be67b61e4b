package spokestall.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Recovery of the log's records from its segments at start.
 *
 * <p>Records with consecutive sequence numbers form a run. Recovery takes the run with the highest numbers that meets two
 * conditions. First, it reaches back to the floor of its last record. Second, every record with a higher number is either part
 * of the commit that was in progress when power was lost (a torn tail, whose puts were never reported as synced), or stale,
 * written by an earlier incarnation. If no run qualifies, synced records are lost, and recovery returns a blank log instead of
 * an incomplete one.
 */
final class LogRecovery {
    /** Outcome of a recovery. */
    sealed interface Result {
        /** A segment can't be read. */
        record Unreadable() implements Result {}

        /** No run qualified; {@code incarnation} is the one that begins now. */
        record Blank(int incarnation) implements Result {}

        /** The recovered run, at least one record, by sequence number; {@code incarnation} is the one that begins now. */
        record Recovered(int incarnation, List<LogRecord.Located> run) implements Result {
            LogRecord.Located last() {
                return run.get(run.size() - 1);
            }
        }
    }

    private final TreeMap<Long, LogRecord.Located> bySeq = new TreeMap<>();
    /**
     * The incarnation that begins now. Higher than that of any record found, including discarded ones: otherwise a discarded
     * record could later appear to continue this incarnation's records.
     */
    private int incarnation = 1;

    private LogRecovery() {}

    /** Reads all segments and selects the run to recover. Blocks. */
    static Result recover(final SegmentStore segments) {
        final LogRecovery recovery = new LogRecovery();
        for (int segment = 0; segment < segments.count(); segment++) {
            final byte[] bytes = segments.read(segment);
            if (bytes == null) {
                return new Result.Unreadable();
            }
            recovery.scan(segment, bytes);
        }
        return recovery.newestCompleteRun();
    }

    /**
     * Collects every complete record of a segment, including those after a damaged part. Of two records with the same sequence
     * number, the one of the later incarnation is kept.
     */
    private void scan(final int segment, final byte[] bytes) {
        int offset = 0;
        while (offset < bytes.length) {
            final LogRecord.Located found = LogRecord.decode(segment, bytes, offset);
            if (found == null) {
                offset++;
            } else {
                incarnation = Math.max(incarnation, found.record().incarnation() + 1);
                bySeq.merge(found.record().seq(), found, LogRecovery::ofLaterIncarnation);
                offset = found.endOffset();
            }
        }
    }

    private static LogRecord.Located ofLaterIncarnation(final LogRecord.Located a, final LogRecord.Located b) {
        return b.record().incarnation() > a.record().incarnation() ? b : a;
    }

    private Result newestCompleteRun() {
        final List<List<LogRecord.Located>> runs = runs();
        for (int i = runs.size() - 1; i >= 0; i--) {
            final List<LogRecord.Located> run = runs.get(i);
            final LogRecord last = run.get(run.size() - 1).record();
            final boolean reachesFloor = run.get(0).record().seq() <= last.floorSeq();
            if (reachesFloor && allTornOrStale(runs.subList(i + 1, runs.size()), last)) {
                return new Result.Recovered(incarnation, run);
            }
        }
        return new Result.Blank(incarnation);
    }

    /** Splits the records at each missing sequence number, and where the next record is of an earlier incarnation. */
    private List<List<LogRecord.Located>> runs() {
        final List<List<LogRecord.Located>> runs = new ArrayList<>();
        LogRecord previous = null;
        for (final Map.Entry<Long, LogRecord.Located> entry : bySeq.entrySet()) {
            final LogRecord record = entry.getValue().record();
            if (previous == null
                    || record.seq() != previous.seq() + 1
                    || record.incarnation() < previous.incarnation()) {
                runs.add(new ArrayList<>());
            }
            runs.get(runs.size() - 1).add(entry.getValue());
            previous = record;
        }
        return runs;
    }

    /** Returns whether each later record belongs to the commit right after the last record, or to an earlier incarnation. */
    private static boolean allTornOrStale(final List<List<LogRecord.Located>> laterRuns, final LogRecord last) {
        for (final List<LogRecord.Located> run : laterRuns) {
            for (final LogRecord.Located located : run) {
                final LogRecord record = located.record();
                if (record.incarnation() >= last.incarnation() && record.batchSeq() > last.seq() + 1) {
                    return false;
                }
            }
        }
        return true;
    }
}
