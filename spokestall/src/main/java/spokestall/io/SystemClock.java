package spokestall.io;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import spokestall.time.Clock;

/**
 * The clock of the process. Scheduled events run on the event loop. Thread-safe.
 */
public final class SystemClock implements Clock {
    private final XnioExecutor timer;
    private final Executor eventLoop;

    /** Creates a clock that schedules on an I/O thread's timer and runs events on an event loop. */
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
