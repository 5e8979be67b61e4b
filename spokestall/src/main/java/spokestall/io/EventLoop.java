package spokestall.io;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stage: a bounded queue whose events run one at a time on the shared workers. What comes from outside is offered
 * and may be turned away; what a stage's own work brings back (a timer, a sync, an answer) was bounded when it began.
 */
public final class EventLoop implements Executor {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int TURN = 64;
    private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Executor workers;
    private final int bound;

    /** Example: {@code new EventLoop(workers, 4096)} */
    public EventLoop(final Executor workers, final int bound) {
        this.workers = workers;
        this.bound = bound;
    }

    /** Takes an event from outside, or says no. */
    public boolean offer(final Runnable event) {
        if (waiting.get() >= bound) {
            return false;
        }
        execute(event);
        return true;
    }

    @Override
    public void execute(final Runnable event) {
        queue.add(event);
        if (waiting.getAndIncrement() == 0) {
            workers.execute(this::turn);
        }
    }

    private void turn() {
        int done = 0;
        while (done < TURN) {
            final Runnable event = queue.poll();
            if (event == null) {
                break;
            }
            try {
                event.run();
            } catch (final RuntimeException | AssertionError e) {
                LOG.atSevere().withCause(e).log("event=fault stage=%s", e.getMessage());
            }
            done++;
        }
        if (waiting.addAndGet(-done) > 0) {
            workers.execute(this::turn);
        }
    }
}
