package spokestall.membership;

import java.util.HashMap;
import java.util.Map;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

/**
 * Records when this core last received a status from each other voter. A pause of this core itself resets all records, so that
 * the other voters do not appear silent after it. Not thread-safe; all calls on the node's event loop.
 */
final class PeerLiveness {
    private final long pauseThresholdMillis;
    private final Map<String, Long> lastReceivedMillis = new HashMap<>();
    private VoterSet voterSet;
    private long lastTickMillis = -1;

    /** Creates an empty record. Ticks further apart than {@code pauseThresholdMillis} mean that this core was paused. */
    PeerLiveness(final long pauseThresholdMillis) {
        this.pauseThresholdMillis = pauseThresholdMillis;
    }

    /** Updates the records to the current voter set. The silence of a voter that is new or has changed is counted from now. */
    void onTick(final VoterSet current, final long nowMillis) {
        if (lastTickMillis >= 0 && nowMillis - lastTickMillis > pauseThresholdMillis) {
            lastReceivedMillis.clear();
        }
        lastTickMillis = nowMillis;
        lastReceivedMillis.keySet().removeIf(voter -> current.voter(voter) == null);
        for (final Voter voter : current.voters()) {
            final boolean changed = voterSet == null || !voter.equals(voterSet.voter(voter.name()));
            if (changed || !lastReceivedMillis.containsKey(voter.name())) {
                lastReceivedMillis.put(voter.name(), nowMillis);
            }
        }
        voterSet = current;
    }

    /** Records a status from the core with this name. */
    void onMessage(final String core, final long nowMillis) {
        lastReceivedMillis.replace(core, nowMillis);
    }

    /**
     * Returns the voters that have been silent for longer than the threshold, as a bit set of positions in the voter set. The bit
     * of {@code localName} is never set.
     */
    long silentVoters(
            final VoterSet voters, final String localName, final long silenceThresholdMillis, final long nowMillis) {
        long bits = 0;
        for (int position = 0; position < voters.voters().size(); position++) {
            final String voter = voters.voters().get(position).name();
            final boolean silent = !voter.equals(localName)
                    && nowMillis - lastReceivedMillis.getOrDefault(voter, nowMillis) > silenceThresholdMillis;
            bits |= silent ? 1L << position : 0;
        }
        return bits;
    }
}
