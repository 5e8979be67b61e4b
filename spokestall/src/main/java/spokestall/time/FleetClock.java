package spokestall.time;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet's common time, in milliseconds since 1970: this process's monotonic time plus an offset. The offset follows the median
 * of this node's own offset and the offsets derived from the peers' readings. The machine's wall clock is read only once, at the
 * start, and serves only until enough peers have been read, so a single clock that is wrong or jumps doesn't move the fleet's time.
 *
 * <p>Not thread-safe; all calls on the node's event loop. If the offset differs from the median by more than {@code stepMs}, the
 * time steps forwards or backwards; otherwise each reading moves it by at most one millisecond.
 */
public final class FleetClock {
    /** Number of peers, not counting this node, that must have been read before the time settles. */
    private static final int MIN_PEERS = 2;
    /** Maximum number of peers per offset map; readings of further peers are ignored, to bound the memory. */
    private static final int MAX_PEERS = 64;

    private final Clock clock;
    private final long stepMs;
    /** Offsets to this process's monotonic time of the peers whose own time has settled, by peer name. */
    private final Map<String, Long> settledOffsetsMs = new HashMap<>();
    /** Offsets of the peers whose own time hasn't settled, which are in effect the offsets of their wall clocks. */
    private final Map<String, Long> unsettledOffsetsMs = new HashMap<>();

    private long ownOffsetMs;
    private boolean settled;

    /**
     * Creates a clock that starts from this machine's wall-clock time.
     *
     * @param stepMs the difference from the median above which the offset steps; also the round-trip time above which a reading
     *     doesn't replace an earlier one
     */
    public FleetClock(final Clock clock, final long stepMs) {
        this.clock = clock;
        this.stepMs = stepMs;
        this.ownOffsetMs = clock.wallMs() - clock.nowMs();
    }

    /** Returns the fleet's time. Until {@link #settled}, this is based on the machine's wall clock at the start. */
    public long nowMs() {
        return clock.nowMs() + ownOffsetMs;
    }

    /** Returns whether enough peers have been read. Once true, it stays true. */
    public boolean settled() {
        return settled;
    }

    /**
     * Handles a peer's reading, assuming that the peer took it in the middle of the round trip. After a long round trip, for
     * example because either process was suspended, the reading may be off by half of the round-trip time, so it doesn't replace
     * an earlier reading of that peer.
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

    /** Moves the offset towards the median. Unsettled peers count only at the start, while there are too few settled ones. */
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
