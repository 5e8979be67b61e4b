package spokestall.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * LRU cache of the proposal counts and committed values of the registers that a proposer used most recently, at most
 * {@link #MAX_KEYS} of each. An evicted entry costs a rejected attempt or a prepare phase, never a wrong outcome.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class ProposerCache {
    /**
     * The last value for a key that was chosen through this proposer.
     *
     * @param voterSet the voter set that chose the value
     * @param next the number for the next change, which the acceptors promised when they accepted the value
     */
    record Committed(VoterSet voterSet, ProposalNumber next, byte[] value) {}

    private static final int MAX_KEYS = 4096;
    private final Map<String, Long> counts = leastRecentlyUsed();
    private final Map<String, Committed> committed = leastRecentlyUsed();

    private static <T> Map<String, T> leastRecentlyUsed() {
        return new LinkedHashMap<>(64, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(final Map.Entry<String, T> eldest) {
                return size() > MAX_KEYS;
            }
        };
    }

    /** Returns a count for the key that is higher than all counts used or observed before. */
    long nextCount(final String key) {
        return counts.merge(key, 1L, Long::sum);
    }

    /** Records a count that was used for the key, by this proposer or another one. */
    void observeCount(final String key, final long count) {
        counts.merge(key, count, Math::max);
    }

    /** Records the chosen value of the key. */
    void putCommitted(final String key, final Committed value) {
        committed.put(key, value);
    }

    /** Removes and returns the recorded value, since only one proposal may use its next number; null if there is none. */
    Committed takeCommitted(final String key) {
        return committed.remove(key);
    }
}
