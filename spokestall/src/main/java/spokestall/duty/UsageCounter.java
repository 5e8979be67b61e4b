package spokestall.duty;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import spokestall.time.FleetClock;
import spokestall.wire.Post;

/** An edge's own count of the asks that upstreams began, sent again and again until the window is well over. */
public final class UsageCounter {
    private final String edge;
    private final long life;
    private final long windowMs;
    private final int windowsKept;
    private final FleetClock fleet;
    private final Post post;
    private final Supplier<List<String>> cores;
    private final TreeMap<Long, Map<String, Long>> begun = new TreeMap<>();
    private final long closeMs;
    private boolean stopped;

    /** Example: {@code new UsageCounter("d1-edge", life, 5000, 2000, 4, fleet, post, cores)} */
    public UsageCounter(final String edge, final long life, final long windowMs, final long closeMs, final int windowsKept,
            final FleetClock fleet, final Post post, final Supplier<List<String>> cores) {
        this.edge = edge;
        this.life = life;
        this.windowMs = windowMs;
        this.windowsKept = windowsKept;
        this.fleet = fleet;
        this.post = post;
        this.closeMs = closeMs;
        this.cores = cores;
    }

    /** Counts one ask that an upstream began. Example: {@code counter.begun("tenant-1", sentMs);} */
    public void begun(final String tenant, final long atMs) {
        begun.computeIfAbsent(atMs / windowMs, w -> new HashMap<>()).merge(tenant, 1L, Long::sum);
    }

    /** Nothing more will be counted here. Example: {@code counter.stop();} */
    public void stop() {
        stopped = true;
        tick();
    }

    /** One beat: sends the counts of the windows that are not long over. Example: {@code counter.tick();} */
    public void tick() {
        if (!fleet.settled()) {
            return;
        }
        final long now = fleet.nowMs() / windowMs;
        begun.headMap(now - windowsKept).clear();
        begun.computeIfAbsent(now, w -> new HashMap<>());
        begun.computeIfAbsent(now - 1, w -> new HashMap<>());
        begun.forEach((window, counts) -> {
            final UsageNote.Count count = new UsageNote.Count(edge, life, window, new TreeMap<>(counts),
                    stopped || (window + 1) * windowMs + closeMs < fleet.nowMs());
            for (final String core : cores.get()) {
                post.send(core, count);
            }
        });
    }
}
