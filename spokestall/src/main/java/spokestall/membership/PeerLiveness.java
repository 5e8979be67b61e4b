package spokestall.membership;

import java.util.HashMap;
import java.util.Map;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/** Since when this core has not heard the others that have a seat. A pause of its own is nobody's silence. */
final class PeerLiveness {
    private final long pauseMs;
    private final Map<String, Long> heardMs = new HashMap<>();
    private VoterSet table;
    private long beatMs = -1;

    /** {@code pauseMs}: a core whose beats were further apart stood still itself and begins to listen anew. */
    PeerLiveness(final long pauseMs) {
        this.pauseMs = pauseMs;
    }

    /** One beat under this table. A seat that is new or has another disk is listened to from now on. */
    void beat(final VoterSet now, final long nowMs) {
        if (beatMs >= 0 && nowMs - beatMs > pauseMs) {
            heardMs.clear();
        }
        beatMs = nowMs;
        heardMs.keySet().removeIf(seat -> now.seat(seat) == null);
        for (final Voter seat : now.seats()) {
            final boolean changed = table == null || !seat.equals(table.seat(seat.name()));
            if (changed || !heardMs.containsKey(seat.name())) {
                heardMs.put(seat.name(), nowMs);
            }
        }
        table = now;
    }

    /** A core of this name said something. */
    void heard(final String core, final long nowMs) {
        heardMs.replace(core, nowMs);
    }

    /** The places in the table, a bit each, of the seats that were silent for longer; its own is never one. */
    long silentSeats(final VoterSet of, final String own, final long boundMs, final long nowMs) {
        long places = 0;
        for (int place = 0; place < of.seats().size(); place++) {
            final String seat = of.seats().get(place).name();
            final boolean silent = !seat.equals(own) && nowMs - heardMs.getOrDefault(seat, nowMs) > boundMs;
            places |= silent ? 1L << place : 0;
        }
        return places;
    }
}
