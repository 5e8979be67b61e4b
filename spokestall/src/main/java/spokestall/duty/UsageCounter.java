package spokestall.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import spokestall.time.Clock;
import spokestall.time.FleetClock;
import spokestall.wire.Post;

/**
 * An edge's own count of the asks that upstreams began. It is pushed to every core until the window is well over. What a
 * majority of cores does not have yet may be lost with this edge, or come too late; so it is kept to what was begun in
 * a small part of a window: beyond that the edge begins nothing more.
 */
public final class UsageCounter {
    /** Spans and sizes, from the settings. */
    public record Pace(long windowMs, long closeMs, int windowsKept, long uncountedMs, int cores) {
    }

    private record Push(long atMs, Set<String> had) {
    }

    private static final int PUSHES_MAX = 64;
    private final String edge;
    private final String address;
    private final long life;
    private final Pace pace;
    private final Clock clock;
    private final FleetClock fleet;
    private final Post post;
    private final Supplier<List<String>> cores;
    private final TreeMap<Long, Map<String, Long>> begun = new TreeMap<>();
    private final TreeMap<Long, Push> pushes = new TreeMap<>();
    private final ArrayDeque<Long> uncountedMs = new ArrayDeque<>();
    private final Set<Long> changed = new HashSet<>();
    private long nextStamp = 1;
    private long wholeMs = Long.MIN_VALUE / 2;
    private boolean stopped;

    /** Example: {@code new UsageCounter("d1-edge", address, life, pace, clock, fleet, post, cores)} */
    public UsageCounter(final String edge, final String address, final long life, final Pace pace, final Clock clock,
            final FleetClock fleet, final Post post, final Supplier<List<String>> cores) {
        this.edge = edge;
        this.address = address;
        this.life = life;
        this.pace = pace;
        this.clock = clock;
        this.fleet = fleet;
        this.post = post;
        this.cores = cores;
    }

    /** Counts one ask that an upstream began. Example: {@code counter.begun("tenant-1");} */
    public void begun(final String tenant) {
        final long window = fleet.nowMs() / pace.windowMs();
        begun.computeIfAbsent(window, w -> new HashMap<>()).merge(tenant, 1L, Long::sum);
        changed.add(window);
        uncountedMs.add(clock.nowMs());
    }

    /** Whether one more may begin: what a majority does not have yet is not older than the span for that.
     * Example: {@code if (!counter.mayBegin()) deny();} */
    public boolean mayBegin() {
        return uncountedMs.isEmpty() || clock.nowMs() - uncountedMs.peek() <= pace.uncountedMs();
    }

    /** Nothing more will be counted here. Example: {@code counter.stop();} */
    public void stop() {
        stopped = true;
        push(begun.keySet());
    }

    /** One beat: pushes what changed, and now and then all windows that are not long over.
     * Example: {@code counter.tick();} */
    public void tick() {
        if (!fleet.settled()) {
            return;
        }
        final long now = fleet.nowMs() / pace.windowMs();
        begun.headMap(now - pace.windowsKept()).clear();
        begun.computeIfAbsent(now, w -> new HashMap<>());
        begun.computeIfAbsent(now - 1, w -> new HashMap<>());
        if (clock.nowMs() - wholeMs >= pace.uncountedMs()) {
            wholeMs = clock.nowMs();
            push(begun.keySet());
        } else if (!uncountedMs.isEmpty()) {
            push(changed);
        }
    }

    private void push(final Set<Long> windows) {
        final List<UsageNote.Count> counts = new ArrayList<>();
        for (final long window : windows) {
            if (begun.containsKey(window)) {
                counts.add(new UsageNote.Count(edge, life, window, new TreeMap<>(begun.get(window)), stopped
                        || (window + 1) * pace.windowMs() + pace.closeMs() < fleet.nowMs()));
            }
        }
        final long stamp = nextStamp++;
        pushes.put(stamp, new Push(clock.nowMs(), new HashSet<>()));
        if (pushes.size() > PUSHES_MAX) {
            pushes.pollFirstEntry();
        }
        for (final String core : cores.get()) {
            post.send(core, new UsageNote.Counts(address, stamp, counts));
        }
    }

    /** Hears that a core has the counts of a push. Example: {@code counter.hear(had);} */
    public void hear(final UsageNote.CountsHad note) {
        final Push push = pushes.get(note.stamp());
        if (push == null) {
            return;
        }
        push.had.add(note.name());
        if (push.had.size() > Math.max(pace.cores(), cores.get().size()) / 2) {
            while (!uncountedMs.isEmpty() && uncountedMs.peek() <= push.atMs) {
                uncountedMs.poll();
            }
            pushes.headMap(note.stamp(), true).clear();
            if (uncountedMs.isEmpty()) {
                changed.clear();
            }
        }
    }
}
