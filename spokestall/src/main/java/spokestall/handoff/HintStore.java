package spokestall.handoff;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Hints for hinted handoff: keys of registers whose changes an unavailable voter missed, kept in memory until the voter is
 * available again. A lost hint only costs time, since the voter also catches up from a majority.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class HintStore {
    private final int maxKeysPerVoter;
    private final Map<String, LinkedHashSet<String>> keysByVoter = new TreeMap<>();

    /** Creates an empty store that drops a voter's oldest key when the voter has more than {@code maxKeysPerVoter} keys. */
    public HintStore(final int maxKeysPerVoter) {
        this.maxKeysPerVoter = maxKeysPerVoter;
    }

    /** Adds a register's key for a voter. Has no effect if the store already has the key for that voter. */
    public void add(final String voter, final String key) {
        final LinkedHashSet<String> keys = keysByVoter.computeIfAbsent(voter, v -> new LinkedHashSet<>());
        keys.add(key);
        if (keys.size() > maxKeysPerVoter) {
            keys.remove(keys.iterator().next());
        }
    }

    /** Removes and returns a voter's oldest keys, at most {@code maxKeys} of them. */
    public List<String> remove(final String voter, final int maxKeys) {
        final LinkedHashSet<String> keys = keysByVoter.get(voter);
        final List<String> removed = new ArrayList<>();
        if (keys == null) {
            return removed;
        }
        final Iterator<String> oldestFirst = keys.iterator();
        while (oldestFirst.hasNext() && removed.size() < maxKeys) {
            removed.add(oldestFirst.next());
            oldestFirst.remove();
        }
        if (keys.isEmpty()) {
            keysByVoter.remove(voter);
        }
        return removed;
    }

    /** Returns the number of keys per voter, ordered by voter name. */
    public Map<String, Integer> sizes() {
        final Map<String, Integer> sizes = new TreeMap<>();
        keysByVoter.forEach((voter, keys) -> sizes.put(voter, keys.size()));
        return sizes;
    }
}
