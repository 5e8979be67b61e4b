package spokestall.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A virtual clock that runs its timers in the order of their times, those of one time in the order they were started. */
public final class EventClock implements Clock {
    private record Event(long atMs, long number, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private long nowMs;
    private long nextNumber;

    /** Example: {@code new EventClock(0)} */
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

    /** Runs what is due until then, and stands there. */
    public void runUntil(final long untilMs, final Runnable afterEach) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            runNext();
            afterEach.run();
        }
        nowMs = untilMs;
    }

    /** Runs until no timer is left. */
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
