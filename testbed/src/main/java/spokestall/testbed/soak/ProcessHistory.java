package spokestall.testbed.soak;

import java.util.HashSet;
import java.util.Set;

/** What was done to each process of a soak run, by its id. Thread-safe. */
final class ProcessHistory {
    private final Set<Long> recordStop = new HashSet<>();
    private final Set<Long> recordKill = new HashSet<>();

    /** Records that a process is told to stop now. */
    synchronized void recordStop(final long pid) {
        recordStop.add(pid);
    }

    /** Records that a process is killed now. */
    synchronized void recordKill(final long pid) {
        recordKill.add(pid);
    }

    /** Returns whether a process was killed at some time. */
    synchronized boolean wasKilled(final long pid) {
        return recordKill.contains(pid);
    }

    /** Returns whether a process was killed or told to stop at some time. */
    synchronized boolean wasEnded(final long pid) {
        return recordKill.contains(pid) || recordStop.contains(pid);
    }
}
