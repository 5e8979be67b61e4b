package spokestall.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock that runs its timers in the order of their due times, and timers with the same due time in FIFO order. */
public final class EventClock implements Clock {
    private record Event(long atMs, long number, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private long nowMs;
    private long nextNumber;

    /** Creates a clock without timers that stands at {@code startMs}. */
    public EventClock(final long startMs) {
        this.nowMs = startMs;
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return nowMs;
    }

    @Override
    public void after(final long waitMs, final Runnable event) {
        events.add(new Event(nowMs + Math.max(0, waitMs), nextNumber++, event));
    }

    /** Runs all timers due up to {@code untilMs}, calling {@code afterEach} after each, and advances the clock to that time. */
    public void runUntil(final long untilMs, final Runnable afterEach) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            runNext();
            afterEach.run();
        }
        nowMs = untilMs;
    }

    /** Runs all timers, including those that timers start, until none is left. */
    public void runAll() {
        while (!events.isEmpty()) {
            runNext();
        }
    }

    private void runNext() {
        final Event event = events.poll();
        nowMs = event.atMs;
        event.task.run();
    }
}
