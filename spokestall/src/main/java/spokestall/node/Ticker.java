package spokestall.node;

import com.google.common.flogger.FluentLogger;
import java.util.Random;
import spokestall.time.Clock;

/**
 * Runs a node's periodic tasks until it is stopped.
 *
 * <p>Not thread-safe; all calls and all tasks run on the node's event loop. Each task first runs after a random part of
 * its period, so that nodes that start together don't tick together. A task that runs late means that events wait on
 * the event loop; the ticker logs such delays, at most once per second.
 */
final class Ticker {
    /** One periodic task. */
    @FunctionalInterface
    interface Task {
        /** Runs the task; called once in each period. */
        void onTick();
    }

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Tasks that run later than this are logged. */
    private static final long LATE_MS = 250;

    private static final long LOG_PERIOD_MS = 1000;

    private final Clock clock;
    private final Random random;
    private long loggedMs = Long.MIN_VALUE / 2;
    private boolean stopped;

    Ticker(final Clock clock, final Random random) {
        this.clock = clock;
        this.random = random;
    }

    /** Runs the task every {@code periodMs} milliseconds from now on. */
    void every(final long periodMs, final Task task) {
        schedule(1 + random.nextInt((int) Math.max(1, periodMs)), periodMs, task);
    }

    private void schedule(final long waitMs, final long periodMs, final Task task) {
        final long dueMs = clock.nowMs() + waitMs;
        clock.after(waitMs, () -> run(dueMs, periodMs, task));
    }

    private void run(final long dueMs, final long periodMs, final Task task) {
        if (!stopped) {
            logIfLate(clock.nowMs(), dueMs);
            // The next run is scheduled first, so that a task that throws still runs again.
            schedule(periodMs, periodMs, task);
            task.onTick();
        }
    }

    private void logIfLate(final long nowMs, final long dueMs) {
        if (nowMs - dueMs > LATE_MS && nowMs - loggedMs >= LOG_PERIOD_MS) {
            loggedMs = nowMs;
            LOG.atInfo().log("event=event_loop_late lateMs=%s", nowMs - dueMs);
        }
    }

    /** Stops all tasks; none runs after this call. */
    void stop() {
        stopped = true;
    }

    /** Returns whether {@link #stop} was called. */
    boolean stopped() {
        return stopped;
    }
}
