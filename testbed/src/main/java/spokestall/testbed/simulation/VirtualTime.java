package spokestall.testbed.simulation;

import java.util.PriorityQueue;
import java.util.Random;
import java.util.zip.CRC32;

/** Virtual clock and event queue. Events run in the order of their time, and in the order of scheduling if the time is the same. */
public final class VirtualTime {
    private record Event(long atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final long seed;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final CRC32 digest = new CRC32();
    private final StringBuilder trace;
    private long nowMs;
    private long scheduled;
    private long executed;

    VirtualTime(final long seed, final boolean traced) {
        this.seed = seed;
        this.trace = traced ? new StringBuilder() : null;
    }

    public long nowMs() {
        return nowMs;
    }

    /** Returns a separate random source for each part, so that more draws in one part don't change those of the others. */
    public Random random(final String part) {
        return new Random(seed * 0x9e3779b97f4a7c15L ^ (long) part.hashCode() << 17);
    }

    void at(final long atMs, final Runnable action) {
        events.add(new Event(Math.max(atMs, nowMs), scheduled++, action));
    }

    public void after(final long waitMs, final Runnable action) {
        at(nowMs + waitMs, action);
    }

    public void run(final long untilMs) {
        while (!events.isEmpty() && events.peek().atMs <= untilMs) {
            final Event event = events.poll();
            nowMs = event.atMs;
            executed++;
            event.action.run();
        }
        nowMs = untilMs;
    }

    /** Adds a line to the digest, and also to the trace if the run is traced. */
    void trace(final String line) {
        final String whole = nowMs + " " + line + "\n";
        digest.update(whole.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        if (trace != null) {
            trace.append(whole);
        }
    }

    /** Adds an encoded message to the digest. */
    void recordFrame(final byte[] frame) {
        digest.update(frame);
    }

    public String traceText() {
        return trace == null ? "" : trace.toString();
    }

    long digest() {
        return digest.getValue() ^ executed << 32;
    }
}
