package spokestall.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a proposer remembers of the registers that it proposed for most recently, at most {@link #MAX_KEYS} of each kind. It is a
 * hint: what is forgotten costs a rejected attempt or a prepare phase, never a wrong outcome.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class ProposerCache {
    /**
     * The last value that this proposer had chosen for a key.
     *
     * @param voterSet the voter set that chose it
     * @param next the number that its acceptors promised along with it
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

    /** Returns a count for the key that is above all that were used or observed. */
    long nextCount(final String key) {
        return counts.merge(key, 1L, Long::sum);
    }

    /** Notes a count that is in use for the key. */
    void observeCount(final String key, final long count) {
        counts.merge(key, count, Math::max);
    }

    /** Notes the value that was chosen for the key. */
    void putCommitted(final String key, final Committed value) {
        committed.put(key, value);
    }

    /** Returns the noted value and forgets it, since it may be used for one proposal only; null if there is none. */
    Committed takeCommitted(final String key) {
        return committed.remove(key);
    }
}
