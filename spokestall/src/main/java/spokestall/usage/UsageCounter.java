package spokestall.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * An edge's own count of the asks that upstreams began. What changed is pushed to every core, again to those that don't say
 * they have it until a majority does; each window goes whole once it is well over, and whenever a core came back without
 * what it had. What a majority does not have yet may be lost with this edge, or come too late; so it is kept to what was
 * begun in a small part of a window: beyond that the edge begins nothing more.
 */
public final class UsageCounter {
    /** Spans and sizes, from the settings. Nothing is held back if {@code uncountedMs} is zero. */
    public record Timing(long windowMs, long closeMs, int windowsKept, long uncountedMs, int cores, long againMs) {}

    /** Counts on their way: of which tenants in which windows, the oldest from when. */
    private static final class Push {
        private final Map<Long, Set<String>> what;
        private final long sinceMs;
        private final Set<String> had = new HashSet<>();
        private long sentMs;

        Push(final Map<Long, Set<String>> what, final long sinceMs) {
            this.what = what;
            this.sinceMs = sinceMs;
        }
    }

    private static final int PUSHES_MAX = 8;
    private static final long NEVER = Long.MAX_VALUE;
    private final String edge;
    private final String address;
    private final long incarnation;
    private final Timing timing;
    private final Clock clock;
    private final FleetClock fleet;
    private final MessageSender post;
    private final Supplier<List<String>> cores;
    private final TreeMap<Long, Map<String, Long>> begun = new TreeMap<>();
    private final Map<Long, Set<String>> changed = new TreeMap<>();
    private final TreeMap<Long, Push> pushes = new TreeMap<>();
    private final Set<Long> closed = new TreeSet<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private long changedMs = NEVER;
    private long nextStamp = 1;
    private boolean stopped;

    /** Example: {@code new UsageCounter("d1-edge", address, incarnation, timing, clock, fleet, post, cores)} */
    public UsageCounter(
            final String edge,
            final String address,
            final long incarnation,
            final Timing timing,
            final Clock clock,
            final FleetClock fleet,
            final MessageSender post,
            final Supplier<List<String>> cores) {
        this.edge = edge;
        this.address = address;
        this.incarnation = incarnation;
        this.timing = timing;
        this.clock = clock;
        this.fleet = fleet;
        this.post = post;
        this.cores = cores;
    }

    /** Counts one ask that an upstream began. */
    public void begun(final String tenant) {
        final long window = fleet.nowMs() / timing.windowMs();
        begun.computeIfAbsent(window, w -> new HashMap<>()).merge(tenant, 1L, Long::sum);
        changed.computeIfAbsent(window, w -> new TreeSet<>()).add(tenant);
        changedMs = Math.min(changedMs, clock.nowMs());
    }

    /** Whether one more may begin: what a majority does not have yet is not older than the span for that. */
    public boolean mayBegin() {
        long oldestMs = changedMs;
        for (final Push push : pushes.values()) {
            oldestMs = Math.min(oldestMs, push.sinceMs);
        }
        return timing.uncountedMs() == 0 || oldestMs == NEVER || clock.nowMs() - oldestMs <= timing.uncountedMs();
    }

    /** Nothing more will be counted here. */
    public void stop() {
        stopped = true;
        begun.keySet().forEach(this::whole);
        push();
    }

    /** One beat: pushes what changed and each window that is well over, and again what was not taken. */
    public void tick() {
        if (!fleet.settled()) {
            return;
        }
        final long now = fleet.nowMs() / timing.windowMs();
        begun.headMap(now - timing.windowsKept()).clear();
        changed.keySet().removeIf(w -> w < now - timing.windowsKept());
        closed.removeIf(w -> w < now - timing.windowsKept());
        pushes.values()
                .removeIf(p ->
                        !p.what.isEmpty() && p.what.keySet().stream().allMatch(w -> w < now - timing.windowsKept()));
        begun.computeIfAbsent(now, w -> new HashMap<>());
        begun.computeIfAbsent(now - 1, w -> new HashMap<>());
        for (final long window : begun.keySet()) {
            if (over(window) && closed.add(window)) {
                whole(window);
            }
        }
        for (final Map.Entry<Long, Push> push : pushes.entrySet()) {
            if (clock.nowMs() - push.getValue().sentMs >= timing.againMs()) {
                send(push.getKey(), push.getValue());
            }
        }
        if (!changed.isEmpty()) {
            push();
        }
    }

    private boolean over(final long window) {
        return stopped || (window + 1) * timing.windowMs() + timing.closeMs() < fleet.nowMs();
    }

    private void whole(final long window) {
        changed.computeIfAbsent(window, w -> new TreeSet<>())
                .addAll(begun.get(window).keySet());
    }

    private void push() {
        if (pushes.size() >= PUSHES_MAX) {
            for (final Push old : pushes.values()) {
                old.what.forEach((w, tenants) ->
                        changed.computeIfAbsent(w, n -> new TreeSet<>()).addAll(tenants));
                changedMs = Math.min(changedMs, old.sinceMs);
            }
            pushes.clear();
        }
        final Push push = new Push(new TreeMap<>(changed), changedMs);
        changed.clear();
        changedMs = NEVER;
        final long stamp = nextStamp++;
        pushes.put(stamp, push);
        send(stamp, push);
    }

    private void send(final long stamp, final Push push) {
        final List<UsageMessage.Count> counts = new ArrayList<>();
        push.what.forEach((window, tenants) -> {
            final Map<String, Long> of = new TreeMap<>(begun.getOrDefault(window, Map.of()));
            of.keySet().retainAll(tenants);
            counts.add(new UsageMessage.Count(edge, incarnation, window, of, over(window)));
        });
        push.sentMs = clock.nowMs();
        for (final String core : cores.get()) {
            if (!push.had.contains(core)) {
                post.send(core, new UsageMessage.Counts(address, stamp, counts));
            }
        }
    }

    /** Hears that a core has the counts of a push. */
    public void hear(final UsageMessage.CountsAcknowledged message, final String core) {
        final Long before = incarnations.put(message.name(), message.incarnation());
        if (before != null && before != message.incarnation()) {
            // It came back, without what it had.
            begun.keySet().forEach(this::whole);
        }
        final Push push = pushes.get(message.stamp());
        if (push != null
                && push.had.add(core)
                && push.had.size() > Math.max(timing.cores(), cores.get().size()) / 2) {
            pushes.remove(message.stamp());
        }
    }
}
