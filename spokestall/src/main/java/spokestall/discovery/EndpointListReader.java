package spokestall.discovery;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spokestall.gossip.NodeInfo;
import spokestall.message.MessageSender;
import spokestall.time.FleetClock;

/**
 * Reads the platform's endpoint list on a core. Normally a single core reads it for the whole fleet. Each following core, in the
 * order of names, waits longer before it takes over. The reader sends changed entries to all known nodes; after a read without
 * changes it sends only the time of the read, to the other cores. A core that starts with stored entries reads the list at once,
 * because they may have changed while no core ran.
 *
 * <p>Not thread-safe; all calls and callbacks on the node's event loop. Requires that the fleet's clock has settled.
 */
public final class EndpointListReader {
    /**
     * Schedule of the reads.
     *
     * @param intervalMs the interval between two reads by the whole fleet
     * @param timeoutMillis the time-out of a read
     */
    public record Schedule(long intervalMs, long timeoutMillis) {}

    /** Additional wait of each following core before it takes over, as a fraction of the interval. */
    private static final double DELAY_RATIO_PER_RANK = 0.7;
    /** Divisor of the interval that gives how early a read may be, because ticks don't coincide exactly with its end. */
    private static final int SLACK_DIVISOR = 32;
    /** Divisor of the interval that gives how long a core waits after its start for the entries of other cores. */
    private static final int FIRST_WAIT_DIVISOR = 4;

    /** A read that takes longer than this is logged even if nothing changed. */
    private static final long LOGGED_READ_MS = 500;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private final String self;
    private final EndpointRegistry registry;
    private final DiscoveryClient client;
    private final DiscoveryPeers peers;
    private final MessageSender sender;
    private final FleetClock fleetClock;
    private final Schedule schedule;
    private boolean reading;
    private boolean entriesOutdated;
    /** The initial value is before any clock time, and small enough in magnitude that subtracting it doesn't overflow. */
    private long lastAttemptMs = Long.MIN_VALUE / 2;

    /**
     * Creates a reader that hasn't read the list yet.
     *
     * @param self this core's name
     * @param registry the registry that receives the entries
     * @param client reads the list
     * @param peers the nodes that changes are sent to
     * @param sender sends the messages
     * @param fleetClock the clock for timestamps of entries
     * @param schedule the schedule of the reads
     */
    public EndpointListReader(
            final String self,
            final EndpointRegistry registry,
            final DiscoveryClient client,
            final DiscoveryPeers peers,
            final MessageSender sender,
            final FleetClock fleetClock,
            final Schedule schedule) {
        this.self = self;
        this.registry = registry;
        this.client = client;
        this.peers = peers;
        this.sender = sender;
        this.fleetClock = fleetClock;
        this.schedule = schedule;
    }

    /** Records that the registry was loaded with entries that were stored before this core's start. */
    public void onStoredEntriesLoaded() {
        entriesOutdated = true;
    }

    /** Returns whether the registry may still have entries as they were before this core's start. */
    public boolean hasOutdatedEntries() {
        return entriesOutdated;
    }

    /** Starts reading the list if it is this core's turn, or if its entries are outdated. */
    public void onTick() {
        if (registry.lastListReadMs() == 0) {
            // Waits for the entries of the other cores first, so that instances listed long ago don't count as new.
            registry.recordListRead(
                    fleetClock.nowMs() - schedule.intervalMs() + schedule.intervalMs() / FIRST_WAIT_DIVISOR);
        }
        if (isDue(peers.otherCores())) {
            startRead();
        }
    }

    private boolean isDue(final List<NodeInfo> otherCores) {
        final long nowMs = fleetClock.nowMs();
        final long rank = otherCores.stream()
                .filter(core -> core.name().compareTo(self) < 0)
                .count();
        final long slackMs = schedule.intervalMs() / SLACK_DIVISOR;
        final long waitMs = (long) (schedule.intervalMs() * (1 + DELAY_RATIO_PER_RANK * rank));
        return !reading
                && nowMs - lastAttemptMs >= schedule.intervalMs() - slackMs
                && (entriesOutdated || nowMs - registry.lastListReadMs() >= waitMs - slackMs);
    }

    private void startRead() {
        reading = true;
        final long requestedMs = fleetClock.nowMs();
        lastAttemptMs = requestedMs;
        client.listEndpoints(schedule.timeoutMillis(), list -> {
            reading = false;
            if (list.isPresent()) {
                entriesOutdated = false;
                onList(list.get(), requestedMs);
            } else {
                LOG.atInfo().log(
                        "event=endpoint_list_failed node=%s tookMs=%s", self, fleetClock.nowMs() - requestedMs);
            }
        });
    }

    private void onList(final List<ListedEndpoint> list, final long requestedMs) {
        final long respondedMs = fleetClock.nowMs();
        final List<Endpoint> changes = changes(list, requestedMs, respondedMs);
        logRead(list.size(), changes, requestedMs, respondedMs - requestedMs);
        registry.merge(changes, List.of());
        registry.recordListRead(requestedMs);
        final DiscoveryMessage.Push push = new DiscoveryMessage.Push(changes, List.of(), requestedMs);
        final Collection<NodeInfo> receivers = changes.isEmpty() ? peers.otherCores() : peers.otherNodes();
        receivers.forEach(node -> sender.send(node.address(), push));
    }

    private void logRead(final int listed, final List<Endpoint> changes, final long requestedMs, final long tookMs) {
        if (!changes.isEmpty() || tookMs > LOGGED_READ_MS) {
            LOG.atInfo().log(
                    "event=endpoint_list_read node=%s tookMs=%s listed=%s changed=%s",
                    self, tookMs, listed, changes.size());
        }
        for (final Endpoint endpoint : changes) {
            if (endpoint.present() && endpoint.warmUpUntilMs() > requestedMs) {
                LOG.atInfo().log(
                        "event=endpoint_warming_up node=%s instance=%s address=%s untilMs=%s remainingMs=%s tookMs=%s",
                        self,
                        endpoint.instance(),
                        endpoint.address(),
                        endpoint.warmUpUntilMs(),
                        endpoint.warmUpUntilMs() - requestedMs,
                        tookMs);
            }
        }
    }

    /** Returns the entries that differ from the registry: changed and absent ones sorted by instance, then new ones. */
    private List<Endpoint> changes(final List<ListedEndpoint> list, final long requestedMs, final long respondedMs) {
        // New entries are sent in this HashMap's iteration order.
        final Map<String, Endpoint> listed = new HashMap<>();
        list.forEach(endpoint -> listed.put(endpoint.instance(), endpoint.toEndpoint(requestedMs, respondedMs)));
        final List<Endpoint> changes = new ArrayList<>();
        for (final Endpoint known : registry.endpoints()) {
            final Endpoint current = listed.remove(known.instance());
            if (current == null && known.present()) {
                changes.add(known.absentAt(requestedMs));
            } else if (current != null && !unchanged(known, current, respondedMs)) {
                changes.add(current);
            }
        }
        changes.addAll(listed.values());
        return changes;
    }

    private static boolean unchanged(final Endpoint known, final Endpoint current, final long respondedMs) {
        return known.present()
                && known.leaving() == current.leaving()
                && known.address().equals(current.address())
                && known.service().equals(current.service())
                && sameWarmUp(known, current, respondedMs);
    }

    /** Whether both entries have about the same end of the warm-up, or both warm-ups have ended. */
    private static boolean sameWarmUp(final Endpoint known, final Endpoint current, final long respondedMs) {
        if (Math.max(known.warmUpUntilMs(), current.warmUpUntilMs()) <= respondedMs) {
            return true;
        }
        final long roundTripMs = respondedMs - current.timestampMs();
        return WarmUpTimes.isSame(
                known.warmUpUntilMs(), current.warmUpUntilMs() - roundTripMs, current.warmUpUntilMs());
    }
}
