package spokestall.testbed.soak;

import java.util.HashSet;
import java.util.Set;

/** What was done to each process of a soak run, by its id. Thread-safe. */
final class ProcessHistory {
    private final Set<Long> stopped = new HashSet<>();
    private final Set<Long> killed = new HashSet<>();

    /** Records that a process is told to stop now. */
    synchronized void stopped(final long pid) {
        stopped.add(pid);
    }

    /** Records that a process is killed now. */
    synchronized void killed(final long pid) {
        killed.add(pid);
    }

    /** Returns whether a process was killed at some time. */
    synchronized boolean wasKilled(final long pid) {
        return killed.contains(pid);
    }

    /** Returns whether a process was killed or told to stop at some time. */
    synchronized boolean wasEnded(final long pid) {
        return killed.contains(pid) || stopped.contains(pid);
    }
}
