package spokestall.membership;

import java.util.HashMap;
import java.util.Map;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/**
 * Records since when this core has not received anything from each other voter. A pause of this core itself resets the record, so
 * that it does not make the others look silent. Not thread-safe; all calls on the node's event loop.
 */
final class PeerLiveness {
    private final long pauseMillis;
    private final Map<String, Long> receivedMillis = new HashMap<>();
    private VoterSet voterSet;
    private long lastTickMillis = -1;

    /** Creates a record; ticks further apart than {@code pauseMillis} mean that this core was paused. */
    PeerLiveness(final long pauseMillis) {
        this.pauseMillis = pauseMillis;
    }

    /** Follows the voter set in force. The silence of a voter that is new or has another disk begins now. */
    void onTick(final VoterSet current, final long nowMillis) {
        if (lastTickMillis >= 0 && nowMillis - lastTickMillis > pauseMillis) {
            receivedMillis.clear();
        }
        lastTickMillis = nowMillis;
        receivedMillis.keySet().removeIf(voter -> current.voter(voter) == null);
        for (final Voter voter : current.voters()) {
            final boolean changed = voterSet == null || !voter.equals(voterSet.voter(voter.name()));
            if (changed || !receivedMillis.containsKey(voter.name())) {
                receivedMillis.put(voter.name(), nowMillis);
            }
        }
        voterSet = current;
    }

    /** Records that the core of this name sent something. */
    void onMessage(final String core, final long nowMillis) {
        receivedMillis.replace(core, nowMillis);
    }

    /**
     * Returns the voters that were silent for longer than the bound, one bit for each position in the voter set. The bit of
     * {@code localName} is never set.
     */
    long silentVoters(final VoterSet voters, final String localName, final long boundMillis, final long nowMillis) {
        long bits = 0;
        for (int position = 0; position < voters.voters().size(); position++) {
            final String voter = voters.voters().get(position).name();
            final boolean silent =
                    !voter.equals(localName) && nowMillis - receivedMillis.getOrDefault(voter, nowMillis) > boundMillis;
            bits |= silent ? 1L << position : 0;
        }
        return bits;
    }
}
