package spokestall.time;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet's common time: own monotonic time plus the median of what the peers say. A machine's calendar is read
 * once, at the start, and counts only until peers have been heard, so one jumped clock moves nothing.
 */
public final class FleetClock {
    private static final int SAMPLES_MIN = 2;
    private static final int PEERS_MAX = 64;
    private final Clock clock;
    private final long stepMs;
    private final Map<String, Long> settledPeers = new HashMap<>();
    private final Map<String, Long> freshPeers = new HashMap<>();
    private long ownOffsetMs;
    private boolean settled;

    /** Example: {@code new FleetClock(clock, 250)} steps at once when the median is more than 250 ms away. */
    public FleetClock(final Clock clock, final long stepMs) {
        this.clock = clock;
        this.stepMs = stepMs;
        this.ownOffsetMs = clock.wallMs() - clock.nowMs();
    }

    /** The fleet's time. */
    public long nowMs() {
        return clock.nowMs() + ownOffsetMs;
    }

    /** True once peers have been heard. */
    public boolean settled() {
        return settled;
    }

    /** Takes a peer's reading. One that was long on its way, as when either end stood still, may be off by half of that: it does
     * not replace a reading that the peer has given before. */
    public void heard(final String peer, final long peerMs, final boolean peerSettled, final long requestedMs) {
        final long nowMs = clock.nowMs();
        if (nowMs - requestedMs > stepMs
                && (settledPeers.containsKey(peer) || !peerSettled && freshPeers.containsKey(peer))) {
            return;
        }
        final Map<String, Long> of = peerSettled ? settledPeers : freshPeers;
        if (of.size() < PEERS_MAX || of.containsKey(peer)) {
            of.put(peer, peerMs + (nowMs - requestedMs) / 2 - nowMs);
            (peerSettled ? freshPeers : settledPeers).remove(peer);
            move();
        }
    }

    /** Settled peers are followed alone once there are enough; until then, at the start, everyone's word counts. */
    private void move() {
        final List<Long> offsets = new ArrayList<>(settledPeers.values());
        if (offsets.size() < SAMPLES_MIN && !settled) {
            offsets.addAll(freshPeers.values());
        }
        if (offsets.size() < SAMPLES_MIN) {
            return;
        }
        offsets.add(ownOffsetMs);
        Collections.sort(offsets);
        final long awayMs = offsets.get(offsets.size() / 2) - ownOffsetMs;
        ownOffsetMs += Math.abs(awayMs) > stepMs ? awayMs : Long.signum(awayMs) * Math.min(1, Math.abs(awayMs));
        settled = true;
    }
}
