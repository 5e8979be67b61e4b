package spokestall.io;

import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import spokestall.time.Clock;

/** The process's own time; later events come back on its stage. */
public final class SystemClock implements Clock {
    private final XnioExecutor timer;
    private final Executor stage;

    /** Example: {@code new SystemClock(ioThread, stage)} */
    public SystemClock(final XnioExecutor timer, final Executor stage) {
        this.timer = timer;
        this.stage = stage;
    }

    @Override
    public long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(final long waitMs, final Runnable event) {
        if (waitMs <= 0) {
            stage.execute(event);
        } else {
            timer.executeAfter(() -> stage.execute(event), waitMs, TimeUnit.MILLISECONDS);
        }
    }
}
