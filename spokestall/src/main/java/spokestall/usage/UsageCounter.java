package spokestall.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import spokestall.message.MessageSender;
import spokestall.time.Clock;
import spokestall.time.FleetClock;

/**
 * Counts the requests from this edge that upstreams began, by window and tenant, and pushes the counts to the cores.
 *
 * <p>The counter pushes changed counts to every core, and resends them to the cores that have not acknowledged them until a
 * majority of the cores has. It pushes all counts of a window when it closes the window, and again when a core has restarted
 * and lost its counts. Counts that a majority of the cores does not have may be lost with this edge or arrive too late.
 * {@link #mayStart} limits the time for which counts may be in that state; after it, the edge starts no more requests.
 *
 * <p>Not thread-safe; call only on the node's event loop.
 */
public final class UsageCounter {
    /** The number of pending pushes at which the next push merges all of them into one. */
    private static final int PENDING_MAX = 8;

    private static final long NEVER = Long.MAX_VALUE;
    private final EdgeIdentity edge;
    private final CounterLimits limits;
    private final Clock clock;
    private final FleetClock fleetClock;
    private final MessageSender sender;
    private final CoreAddresses cores;
    private final TreeMap<Long, Map<String, Long>> startedByWindow = new TreeMap<>();
    private final Map<Long, Set<String>> changed = new TreeMap<>();
    private final TreeMap<Long, PendingPush> pending = new TreeMap<>();
    private final Set<Long> closed = new TreeSet<>();
    private final Map<String, Long> coreIncarnations = new HashMap<>();
    private long oldestChangeMs = NEVER;
    private long nextPushId = 1;
    private boolean stopped;

    /** Creates a counter with no counts. */
    public UsageCounter(
            final EdgeIdentity edge,
            final CounterLimits limits,
            final Clock clock,
            final FleetClock fleetClock,
            final MessageSender sender,
            final CoreAddresses cores) {
        this.edge = edge;
        this.limits = limits;
        this.clock = clock;
        this.fleetClock = fleetClock;
        this.sender = sender;
        this.cores = cores;
    }

    /** Counts one request of a tenant that an upstream began. */
    public void onStarted(final String tenant) {
        final long window = fleetClock.nowMs() / limits.windowMs();
        startedByWindow.computeIfAbsent(window, w -> new HashMap<>()).merge(tenant, 1L, Long::sum);
        changed.computeIfAbsent(window, w -> new TreeSet<>()).add(tenant);
        oldestChangeMs = Math.min(oldestChangeMs, clock.nowMs());
    }

    /** Returns whether another request may start: no count has lacked a majority's acknowledgement for longer than the limit. */
    public boolean mayStart() {
        long oldestMs = oldestChangeMs;
        for (final PendingPush push : pending.values()) {
            oldestMs = Math.min(oldestMs, push.oldestMs());
        }
        return limits.uncountedMaxMs() == 0 || oldestMs == NEVER || clock.nowMs() - oldestMs <= limits.uncountedMaxMs();
    }

    /** Closes and pushes every window. Must be called after the last request has been counted. */
    public void stop() {
        stopped = true;
        startedByWindow.keySet().forEach(this::markAllChanged);
        push();
    }

    /** Closes windows that are over, pushes changed counts, and resends pushes that were not acknowledged in time. */
    public void onTick() {
        if (!fleetClock.settled()) {
            return;
        }
        final long current = fleetClock.nowMs() / limits.windowMs();
        discardBefore(current - limits.windowsKept());
        // Windows without requests must be closed too, because a core waits for each edge that it knows to close a
        // window.
        startedByWindow.computeIfAbsent(current, w -> new HashMap<>());
        startedByWindow.computeIfAbsent(current - 1, w -> new HashMap<>());
        for (final long window : startedByWindow.keySet()) {
            if (isOver(window) && closed.add(window)) {
                markAllChanged(window);
            }
        }
        for (final Map.Entry<Long, PendingPush> push : pending.entrySet()) {
            if (clock.nowMs() - push.getValue().sentMs() >= limits.resendMs()) {
                send(push.getKey(), push.getValue());
            }
        }
        if (!changed.isEmpty()) {
            push();
        }
    }

    /**
     * Records a core's acknowledgement of a push.
     *
     * @param coreAddress the core's address, in the same form as in the addresses that counts are pushed to
     */
    public void onMessage(final UsageMessage.CountsAcknowledged message, final String coreAddress) {
        final Long before = coreIncarnations.put(message.core(), message.incarnation());
        if (before != null && before != message.incarnation()) {
            // The core restarted and lost its counts.
            startedByWindow.keySet().forEach(this::markAllChanged);
        }
        final PendingPush push = pending.get(message.pushId());
        final int coreCount = Math.max(limits.cores(), cores.current().size());
        if (push != null && push.onAcknowledged(coreAddress) && push.acknowledgements() > coreCount / 2) {
            pending.remove(message.pushId());
        }
    }

    private void discardBefore(final long oldestKept) {
        startedByWindow.headMap(oldestKept).clear();
        changed.keySet().removeIf(window -> window < oldestKept);
        closed.removeIf(window -> window < oldestKept);
        pending.values().removeIf(push -> push.isOutdated(oldestKept));
    }

    private boolean isOver(final long window) {
        return stopped || (window + 1) * limits.windowMs() + limits.closeMs() < fleetClock.nowMs();
    }

    private void markAllChanged(final long window) {
        changed.computeIfAbsent(window, w -> new TreeSet<>())
                .addAll(startedByWindow.get(window).keySet());
    }

    private void push() {
        if (pending.size() >= PENDING_MAX) {
            for (final PendingPush push : pending.values()) {
                push.tenantsByWindow()
                        .forEach((window, tenants) -> changed.computeIfAbsent(window, w -> new TreeSet<>())
                                .addAll(tenants));
                oldestChangeMs = Math.min(oldestChangeMs, push.oldestMs());
            }
            pending.clear();
        }
        final PendingPush push = new PendingPush(new TreeMap<>(changed), oldestChangeMs);
        changed.clear();
        oldestChangeMs = NEVER;
        final long pushId = nextPushId++;
        pending.put(pushId, push);
        send(pushId, push);
    }

    private void send(final long pushId, final PendingPush push) {
        final List<UsageMessage.Count> counts = new ArrayList<>();
        push.tenantsByWindow().forEach((window, tenants) -> {
            final Map<String, Long> started = new TreeMap<>(startedByWindow.getOrDefault(window, Map.of()));
            started.keySet().retainAll(tenants);
            counts.add(new UsageMessage.Count(edge.name(), edge.incarnation(), window, started, isOver(window)));
        });
        push.onSent(clock.nowMs());
        for (final String core : cores.current()) {
            if (!push.isAcknowledgedBy(core)) {
                sender.send(core, new UsageMessage.Counts(edge.address(), pushId, counts));
            }
        }
    }
}
