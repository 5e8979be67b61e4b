package spokestall.testbed.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Virtual time in steps of a millisecond. Each node has a lane; in one step the world's events run first and alone, then
 * the lanes, several at the same time: what one lane makes for another comes a step later at the soonest. What the lanes
 * made is put in order by lane, so a seed gives the same run with any number of threads.
 */
final class SteppedTime implements AutoCloseable {
    /** The lane of what is no node's. */
    static final int WORLD = -1;

    private static final int FEW = 6;

    private record Event(int lane, long atMs, Runnable what) {}

    private static final class Lane {
        private final List<Event> due = new ArrayList<>();
        private final List<Event> made = new ArrayList<>();
    }

    private final Lane[] lanes;
    private final int threads;
    private final ExecutorService pool;
    private final Map<Long, List<Event>> later = new HashMap<>();
    private long nowMs;
    private boolean inWorld = true;
    private long endNs = Long.MAX_VALUE;

    SteppedTime(final int nodes, final int threads) {
        this.threads = threads;
        this.lanes = new Lane[nodes];
        for (int i = 0; i < nodes; i++) {
            lanes[i] = new Lane();
        }
        this.pool = threads == 1
                ? null
                : Executors.newFixedThreadPool(threads - 1, r -> {
                    final Thread t = new Thread(r, "step");
                    t.setDaemon(true);
                    return t;
                });
    }

    /** From that real time on no event is run any more: what is under way is left as it is. */
    void end(final long ns) {
        endNs = ns;
    }

    long nowMs() {
        return nowMs;
    }

    /** Called by the world: an event of its own, or of a node, at once or later. */
    void byWorld(final int lane, final long waitMs, final Runnable what) {
        if (!inWorld) {
            throw new IllegalStateException("a node's event is not the world's");
        }
        put(new Event(lane, nowMs + waitMs, what));
    }

    /** Called within a lane: an event of that node, of another, or of the world. */
    void byNode(final int from, final int to, final long waitMs, final Runnable what) {
        final Lane lane = lanes[from];
        if (inWorld) {
            put(new Event(to, nowMs + Math.max(from == to ? 0 : 1, waitMs), what));
        } else if (from == to && waitMs <= 0) {
            lane.due.add(new Event(to, nowMs, what));
        } else {
            lane.made.add(new Event(to, nowMs + Math.max(1, waitMs), what));
        }
    }

    private void put(final Event event) {
        later.computeIfAbsent(event.atMs, t -> new ArrayList<>()).add(event);
    }

    /** One millisecond. */
    void step() {
        nowMs++;
        inWorld = true;
        final List<Integer> busy = new ArrayList<>();
        List<Event> now = later.remove(nowMs);
        while (now != null) {
            for (final Event event : now) {
                if (event.lane == WORLD) {
                    event.what.run();
                } else {
                    if (lanes[event.lane].due.isEmpty()) {
                        busy.add(event.lane);
                    }
                    lanes[event.lane].due.add(event);
                }
            }
            now = later.remove(nowMs);
        }
        inWorld = false;
        run(busy);
        busy.sort(null);
        for (final int i : busy) {
            lanes[i].made.forEach(this::put);
            lanes[i].made.clear();
        }
        inWorld = true;
    }

    private void run(final List<Integer> busy) {
        if (pool == null || busy.size() < FEW) {
            busy.forEach(this::run);
            return;
        }
        final AtomicInteger next = new AtomicInteger();
        final RuntimeException[] error = new RuntimeException[1];
        final CountDownLatch ended = new CountDownLatch(threads - 1);
        final Runnable some = () -> {
            for (int i = next.getAndIncrement(); i < busy.size(); i = next.getAndIncrement()) {
                run(busy.get(i));
            }
        };
        for (int i = 1; i < threads; i++) {
            pool.execute(() -> {
                try {
                    some.run();
                } catch (final RuntimeException | AssertionError e) {
                    synchronized (error) {
                        error[0] = new IllegalStateException("in a node's event", e);
                    }
                } finally {
                    ended.countDown();
                }
            });
        }
        some.run();
        try {
            ended.await();
        } catch (final InterruptedException e) {
            throw new IllegalStateException(e);
        }
        synchronized (error) {
            if (error[0] != null) {
                throw error[0];
            }
        }
    }

    private void run(final int i) {
        final Lane lane = lanes[i];
        for (int e = 0; e < lane.due.size() && System.nanoTime() < endNs; e++) {
            lane.due.get(e).what.run();
        }
        lane.due.clear();
    }

    @Override
    public void close() {
        if (pool != null) {
            pool.shutdownNow();
        }
    }
}
