package spokestall.node;

import java.util.Random;
import spokestall.time.Clock;

/**
 * Runs a node's periodic tasks until it is stopped.
 *
 * <p>Not thread-safe; all calls and all tasks run on the node's event loop. Each task's first run comes after a random part of
 * its period, so that nodes that start together don't tick together.
 */
final class Ticker {
    /** One periodic task. */
    @FunctionalInterface
    interface Task {
        /** Runs once in each period. */
        void onTick();
    }

    private final Clock clock;
    private final Random random;
    private boolean stopped;

    Ticker(final Clock clock, final Random random) {
        this.clock = clock;
        this.random = random;
    }

    /** Runs the task every {@code periodMs} milliseconds from now on. */
    void every(final long periodMs, final Task task) {
        clock.after(1 + random.nextInt((int) Math.max(1, periodMs)), () -> run(periodMs, task));
    }

    private void run(final long periodMs, final Task task) {
        if (!stopped) {
            // The next run is scheduled first, so that a task that throws still runs again.
            clock.after(periodMs, () -> run(periodMs, task));
            task.onTick();
        }
    }

    /** Ends all tasks; none runs after this call. */
    void stop() {
        stopped = true;
    }

    /** Returns whether {@link #stop} was called. */
    boolean stopped() {
        return stopped;
    }
}
