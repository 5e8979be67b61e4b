package spokestall.configuration.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import spokestall.time.Clock;

/**
 * Selects the core from which a {@link FeedClient} fetches updates, and tracks whether an update request is in flight. The
 * nearest core is used until it sends no updates for the update timeout. Periodically a more distant core is used, so that
 * nearby nodes don't get updates only from each other. Not thread-safe; call only on the node's event loop.
 */
final class UpdateSource {
    /** The number of probes of more distant cores after which the client returns to the nearest core. */
    private static final int PROBES_UNTIL_NEAREST = 8;
    /** A request counts as in flight for the update timeout divided by this number. */
    private static final int IN_FLIGHT_DIVISOR = 3;

    private final String ownAddress;
    private final FeedNode node;
    private final Clock clock;
    private FeedClient.Timings timings;
    /** The current source's index in the list of cores sorted by distance. */
    private int distanceIndex = -1;

    private int picks;
    private long lastUpdatesMs = Long.MIN_VALUE / 2;
    /** The address of the core that was sent an update request and has not answered it yet; otherwise null. */
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

    /** Picks the core to request updates from in this tick. This node itself is picked only if it is the only core. */
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

    /** Records an update request to a core, which replaces any other request in flight. */
    void onRequested(final String core) {
        pendingSource = core;
        pendingSinceMs = clock.nowMs();
    }

    /** Records an update request sent by a tick, unless another request is in flight. */
    void onTickRequested(final String core) {
        if (pendingSource == null) {
            onRequested(core);
        }
    }

    /** Records that updates arrived from any core. */
    void onUpdates() {
        lastUpdatesMs = clock.nowMs();
    }

    /**
     * Records a response.
     *
     * @param core the responder's address, or null if the responder is not a voter
     * @param hasUpdates whether the response has updates
     * @return whether the response completes the request in flight
     */
    boolean onResponse(final String core, final boolean hasUpdates) {
        final boolean answered = pendingSource != null && (hasUpdates || pendingSource.equals(core));
        if (answered) {
            pendingSource = null;
        }
        return answered;
    }

    /**
     * Returns whether an update request was sent too recently to send another, so that the client doesn't fetch the same updates
     * from several cores.
     */
    boolean isInFlight() {
        return pendingSource != null && clock.nowMs() - pendingSinceMs < timings.updateTimeoutMs() / IN_FLIGHT_DIVISOR;
    }

    boolean hasPending() {
        return pendingSource != null;
    }
}
