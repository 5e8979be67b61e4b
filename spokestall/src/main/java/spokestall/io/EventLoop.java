package spokestall.io;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs events one at a time, in the order in which they were added, on shared worker threads. Everything that runs on one event loop
 * is confined to it and needs no locks.
 *
 * <p>Events from outside are offered, and rejected while the queue is full. Completions of the loop's own work (a timer, a sync, a
 * response) are executed without a bound: their number was bounded when that work began. An event that throws, or that overflows its
 * stack, is logged, and the loop continues with the next one.
 *
 * <p>Thread-safe.
 */
public final class EventLoop implements Executor {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** The most events in one turn, after which other event loops can use the worker. */
    private static final int MAX_EVENTS_PER_TURN = 64;

    private final ConcurrentLinkedQueue<Runnable> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queued = new AtomicInteger();
    private final Executor workers;
    private final int capacity;

    /** Creates an event loop on workers that rejects offers while {@code capacity} events are queued. */
    public EventLoop(final Executor workers, final int capacity) {
        this.workers = workers;
        this.capacity = capacity;
    }

    /** Adds an event from outside; returns false, and adds nothing, if the queue is full. */
    public boolean offer(final Runnable event) {
        if (queued.get() >= capacity) {
            return false;
        }
        execute(event);
        return true;
    }

    /** Adds an event that is never rejected. */
    @Override
    public void execute(final Runnable event) {
        queue.add(event);
        if (queued.getAndIncrement() == 0) {
            workers.execute(this::runTurn);
        }
    }

    private void runTurn() {
        int done = 0;
        while (done < MAX_EVENTS_PER_TURN) {
            final Runnable event = queue.poll();
            if (event == null) {
                break;
            }
            try {
                event.run();
            } catch (final RuntimeException | AssertionError | StackOverflowError e) {
                LOG.atSevere().withCause(e).log("event=fault message=\"%s\"", e.getMessage());
            }
            done++;
        }
        if (queued.addAndGet(-done) > 0) {
            workers.execute(this::runTurn);
        }
    }
}
