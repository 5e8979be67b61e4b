package spokestall.configuration.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import spokestall.time.Clock;

/**
 * Which core a {@link FeedClient} fetches updates from, and whether a request for them is in flight. The nearest core
 * serves until it sends no updates for a while; now and then a more distant one is used, so that groups of near nodes don't
 * depend on each other alone. Not thread-safe; all calls on the node's event loop.
 */
final class UpdateSource {
    /** After so many probes of distant cores the nearest one is tried again. */
    private static final int PROBES_UNTIL_NEAREST = 8;
    /** A request counts as in flight for this part of the time after which the source is changed. */
    private static final int IN_FLIGHT_DIVISOR = 3;

    private final String ownAddress;
    private final FeedNode node;
    private final Clock clock;
    private FeedClient.Timings timings;
    /** The present source's index in the order of distance. */
    private int distanceIndex = -1;

    private int picks;
    private long lastUpdatesMs = Long.MIN_VALUE / 2;
    /** The core whose updates are awaited, or null. */
    private String pendingSource;

    private long pendingSinceMs;

    UpdateSource(final String ownAddress, final FeedNode node, final Clock clock, final FeedClient.Timings timings) {
        this.ownAddress = ownAddress;
        this.node = node;
        this.clock = clock;
        this.timings = timings;
    }

    void updateTimings(final FeedClient.Timings newer) {
        timings = newer;
    }

    /** Picks the core to request updates of in this tick; this node itself only if it is the one core. */
    String pick(final List<String> cores) {
        final List<String> others = new ArrayList<>(cores);
        others.remove(ownAddress);
        if (others.isEmpty()) {
            return cores.get(0);
        }
        others.sort(Comparator.comparingInt(node::distanceTo));
        final long nowMs = clock.nowMs();
        if (nowMs - lastUpdatesMs > timings.updateTimeoutMs()) {
            lastUpdatesMs = nowMs;
            distanceIndex++;
        }
        final int probeInterval = timings.probeInterval();
        if (++picks % (PROBES_UNTIL_NEAREST * probeInterval) == 0) {
            distanceIndex = 0;
        }
        final int probeOffset = picks % probeInterval == 0 ? 1 + picks / probeInterval : 0;
        return others.get((distanceIndex + probeOffset) % others.size());
    }

    /** Updates were requested of a core; those of any other are no longer awaited. */
    void onRequested(final String core) {
        pendingSource = core;
        pendingSinceMs = clock.nowMs();
    }

    /** Updates were requested of a core by a tick, which doesn't displace a request in flight. */
    void onTickRequested(final String core) {
        if (pendingSource == null) {
            onRequested(core);
        }
    }

    /** Updates arrived from any core. */
    void onUpdates() {
        lastUpdatesMs = clock.nowMs();
    }

    /**
     * A response arrived.
     *
     * @param core the responder's address, or null if it is no voter
     * @param hasUpdates whether it carried updates
     * @return whether it ended the request in flight
     */
    boolean onResponse(final String core, final boolean hasUpdates) {
        final boolean answered = pendingSource != null && (hasUpdates || pendingSource.equals(core));
        if (answered) {
            pendingSource = null;
        }
        return answered;
    }

    /** Returns whether a request was sent a moment ago, so that the same updates aren't fetched from each core. */
    boolean isInFlight() {
        return pendingSource != null && clock.nowMs() - pendingSinceMs < timings.updateTimeoutMs() / IN_FLIGHT_DIVISOR;
    }

    boolean hasPending() {
        return pendingSource != null;
    }
}
