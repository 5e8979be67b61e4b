package spokestall.membership;

import java.util.HashMap;
import java.util.Map;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/** Since when this core has not heard the others that have a seat. A pause of its own is nobody's silence. */
final class PeerLiveness {
    private final long pauseMs;
    private final Map<String, Long> heardMs = new HashMap<>();
    private VoterSet voterSet;
    private long tickMs = -1;

    /** {@code pauseMs}: a core whose beats were further apart stood still itself and begins to listen anew. */
    PeerLiveness(final long pauseMs) {
        this.pauseMs = pauseMs;
    }

    /** One beat under this table. A seat that is new or has another disk is listened to from now on. */
    void tick(final VoterSet now, final long nowMs) {
        if (tickMs >= 0 && nowMs - tickMs > pauseMs) {
            heardMs.clear();
        }
        tickMs = nowMs;
        heardMs.keySet().removeIf(voter -> now.voter(voter) == null);
        for (final Voter voter : now.voters()) {
            final boolean changed = voterSet == null || !voter.equals(voterSet.voter(voter.name()));
            if (changed || !heardMs.containsKey(voter.name())) {
                heardMs.put(voter.name(), nowMs);
            }
        }
        voterSet = now;
    }

    /** A core of this name said something. */
    void heard(final String core, final long nowMs) {
        heardMs.replace(core, nowMs);
    }

    /** The places in the table, a bit each, of the seats that were silent for longer; its own is never one. */
    long silentVoters(final VoterSet of, final String own, final long boundMs, final long nowMs) {
        long places = 0;
        for (int place = 0; place < of.voters().size(); place++) {
            final String voter = of.voters().get(place).name();
            final boolean silent = !voter.equals(own) && nowMs - heardMs.getOrDefault(voter, nowMs) > boundMs;
            places |= silent ? 1L << place : 0;
        }
        return places;
    }
}
