package spokestall.io;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import spokestall.time.Clock;

/**
 * The process's clock. Events that were scheduled run on its event loop. Thread-safe.
 */
public final class SystemClock implements Clock {
    private final XnioExecutor timer;
    private final Executor eventLoop;

    /** Schedules on an I/O thread's timer. */
    public SystemClock(final XnioExecutor timer, final Executor eventLoop) {
        this.timer = timer;
        this.eventLoop = eventLoop;
    }

    @Override
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(final long waitMs, final Runnable event) {
        if (waitMs <= 0) {
            eventLoop.execute(event);
        } else {
            timer.executeAfter(() -> eventLoop.execute(event), waitMs, TimeUnit.MILLISECONDS);
        }
    }
}
