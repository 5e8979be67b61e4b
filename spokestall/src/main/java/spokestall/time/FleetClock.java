package spokestall.time;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet's common time, in milliseconds since 1970: this process's monotonic time plus an offset, which follows the median of
 * the offsets that the peers' readings give and its own. A machine's calendar is read once, at the start, and counts only until
 * peers have been read, so one clock that is wrong or jumps moves nothing.
 *
 * <p>Not thread-safe; all calls on the node's event loop. The time may step, forwards or backwards, while the offset is more than a
 * step away from the median; else it moves by at most one millisecond with each reading.
 */
public final class FleetClock {
    /** So many peers must have been read, besides this node, before the time settles. */
    private static final int MIN_PEERS = 2;
    /** Readings of further peers are ignored, so that what is kept stays bounded. */
    private static final int MAX_PEERS = 64;

    private final Clock clock;
    private final long stepMs;
    /** Offsets to this process's monotonic time, by peer, of peers whose own time has settled. */
    private final Map<String, Long> settledOffsetsMs = new HashMap<>();
    /** The same of peers whose own time hasn't settled: their calendars, in effect. */
    private final Map<String, Long> unsettledOffsetsMs = new HashMap<>();

    private long ownOffsetMs;
    private boolean settled;

    /**
     * Starts from this machine's calendar.
     *
     * @param stepMs the offset steps if it is further than this from the median; readings that took longer than this on their way
     *     don't replace earlier ones
     */
    public FleetClock(final Clock clock, final long stepMs) {
        this.clock = clock;
        this.stepMs = stepMs;
        this.ownOffsetMs = clock.wallMs() - clock.nowMs();
    }

    /** Returns the fleet's time. Before {@link #settled} it is this machine's calendar time. */
    public long nowMs() {
        return clock.nowMs() + ownOffsetMs;
    }

    /** Returns whether enough peers have been read; once true it stays true. */
    public boolean settled() {
        return settled;
    }

    /**
     * Takes a peer's reading, as of the middle of its way here. A reading that was long on its way, as when either end was
     * suspended, may be off by half of that: it doesn't replace one that the peer has given before.
     *
     * @param peer the peer's name
     * @param peerMs the fleet's time at the peer
     * @param peerSettled whether that time has settled at the peer
     * @param requestedMs this process's monotonic time when the reading was requested
     */
    public void onPeerReading(final String peer, final long peerMs, final boolean peerSettled, final long requestedMs) {
        final long nowMs = clock.nowMs();
        if (nowMs - requestedMs > stepMs
                && (settledOffsetsMs.containsKey(peer) || !peerSettled && unsettledOffsetsMs.containsKey(peer))) {
            return;
        }
        final Map<String, Long> offsetsMs = peerSettled ? settledOffsetsMs : unsettledOffsetsMs;
        if (offsetsMs.size() < MAX_PEERS || offsetsMs.containsKey(peer)) {
            offsetsMs.put(peer, peerMs + (nowMs - requestedMs) / 2 - nowMs);
            (peerSettled ? unsettledOffsetsMs : settledOffsetsMs).remove(peer);
            updateOffset();
        }
    }

    /** Settled peers alone count once there are enough of them; until then, at the start, so do all others. */
    private void updateOffset() {
        final List<Long> offsetsMs = new ArrayList<>(settledOffsetsMs.values());
        if (offsetsMs.size() < MIN_PEERS && !settled) {
            offsetsMs.addAll(unsettledOffsetsMs.values());
        }
        if (offsetsMs.size() < MIN_PEERS) {
            return;
        }
        offsetsMs.add(ownOffsetMs);
        Collections.sort(offsetsMs);
        final long deviationMs = offsetsMs.get(offsetsMs.size() / 2) - ownOffsetMs;
        ownOffsetMs += Math.abs(deviationMs) > stepMs
                ? deviationMs
                : Long.signum(deviationMs) * Math.min(1, Math.abs(deviationMs));
        settled = true;
    }
}
