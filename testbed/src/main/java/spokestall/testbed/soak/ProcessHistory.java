package spokestall.testbed.soak;

import java.util.HashSet;
import java.util.Set;

/** The processes, by process id, that a soak run stopped or killed. Thread-safe. */
final class ProcessHistory {
    private final Set<Long> recordStop = new HashSet<>();
    private final Set<Long> recordKill = new HashSet<>();

    /** Records that a process receives a stop signal now. */
    synchronized void recordStop(final long pid) {
        recordStop.add(pid);
    }

    /** Records that a process is killed now. */
    synchronized void recordKill(final long pid) {
        recordKill.add(pid);
    }

    /** Returns whether the run killed a process. */
    synchronized boolean wasKilled(final long pid) {
        return recordKill.contains(pid);
    }

    /** Returns whether the run killed a process or told it to stop. */
    synchronized boolean wasEnded(final long pid) {
        return recordKill.contains(pid) || recordStop.contains(pid);
    }
}
