package spokestall.testbed.soak;

import java.util.HashMap;
import java.util.Map;

/** What was done to each process of a soak run, by its id. Thread-safe. */
final class ProcessHistory {
    private final Map<Long, Long> stoppedMs = new HashMap<>();
    private final Map<Long, Long> killedMs = new HashMap<>();

    /** Records that a process is told to stop now. */
    synchronized void stopped(final long pid) {
        stoppedMs.putIfAbsent(pid, System.currentTimeMillis());
    }

    /** Records that a process is killed now. */
    synchronized void killed(final long pid) {
        killedMs.put(pid, System.currentTimeMillis());
    }

    /** Returns whether a process was killed at some time. */
    synchronized boolean wasKilled(final long pid) {
        return killedMs.containsKey(pid);
    }

    /** Returns whether a process was killed or told to stop at some time. */
    synchronized boolean wasEnded(final long pid) {
        return killedMs.containsKey(pid) || stoppedMs.containsKey(pid);
    }
}
