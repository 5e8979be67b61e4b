package spokestall.time;

import java.util.Arrays;
import java.util.HashMap;
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
    private final Map<String, Long> offsetMs = new HashMap<>();
    private long ownOffsetMs;
    private boolean settled;
    private boolean heardSettled;

    /** Example: {@code new FleetClock(clock, 250)} steps at once when the median is more than 250 ms away. */
    public FleetClock(final Clock clock, final long stepMs) {
        this.clock = clock;
        this.stepMs = stepMs;
        this.ownOffsetMs = clock.wallMs() - clock.nowMs();
    }

    /** The fleet's time. Example: {@code long window = fleet.nowMs() / windowMs;} */
    public long nowMs() {
        return clock.nowMs() + ownOffsetMs;
    }

    /** True once peers have been heard. Example: {@code if (!fleet.settled()) return;} */
    public boolean settled() {
        return settled;
    }

    /** Takes a peer's reading. Example: {@code fleet.heard("d1-core", peerMs, true, askedMs);} */
    public void heard(final String peer, final long peerMs, final boolean peerSettled, final long askedMs) {
        final long nowMs = clock.nowMs();
        if (offsetMs.size() >= PEERS_MAX && !offsetMs.containsKey(peer)) {
            return;
        }
        if (peerSettled && !heardSettled) {
            offsetMs.clear();
            heardSettled = true;
        }
        if ((settled || heardSettled) && !peerSettled) {
            return;
        }
        offsetMs.put(peer, peerMs + (nowMs - askedMs) / 2 - nowMs);
        move();
    }

    private void move() {
        if (offsetMs.size() < SAMPLES_MIN) {
            return;
        }
        final long[] all = new long[offsetMs.size() + 1];
        int i = 0;
        for (final long o : offsetMs.values()) {
            all[i++] = o;
        }
        all[i] = ownOffsetMs;
        Arrays.sort(all);
        final long medianMs = all[all.length / 2];
        final long awayMs = medianMs - ownOffsetMs;
        ownOffsetMs += Math.abs(awayMs) > stepMs ? awayMs : Long.signum(awayMs) * Math.min(1, Math.abs(awayMs));
        settled = true;
    }
}
