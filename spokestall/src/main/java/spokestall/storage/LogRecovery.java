package spokestall.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Finds, at start, what the segments hold.
 *
 * <p>Records with consecutive sequence numbers form a run. The run with the highest numbers is recovered that reaches back to
 * the floor of its last record, if all records behind it can be explained: they belong to the commit that was being written
 * when power was lost (a torn tail, whose puts were never reported as synced), or an earlier incarnation left them. If no run
 * qualifies, something that had been synced is lost, and the log is blank rather than wrong.
 */
final class LogRecovery {
    /** What was found. */
    sealed interface Result {
        /** A segment can't be read. */
        record Unreadable() implements Result {}

        /** Nothing valid was found; {@code incarnation} is the one that begins now. */
        record Blank(int incarnation) implements Result {}

        /** The records of the recovered run in their order, at least one; {@code incarnation} is the one that begins now. */
        record Recovered(int incarnation, List<LogRecord.Located> run) implements Result {
            LogRecord.Located last() {
                return run.get(run.size() - 1);
            }
        }
    }

    private final TreeMap<Long, LogRecord.Located> bySeq = new TreeMap<>();
    /** Later than that of any record that was found, even of one that isn't recovered: else that one could seem to follow
     * what this incarnation writes. */
    private int incarnation = 1;

    private LogRecovery() {}

    /** Reads all segments. */
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

    /** Collects every complete record of a segment, also behind a hole; of two with one number that of the later incarnation. */
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

    /** Splits the records where a number is missing or an earlier incarnation's record follows a later one's. */
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

    /** Returns whether all later records belong to the commit that follows the last record, or to an earlier incarnation. */
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
