package spokestall.handoff;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Hinted handoff: keys of registers whose changes an unavailable voter missed, kept until the voter is back. Held in memory
 * only; a hint that is lost costs time, since the voter catches up from a majority too.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
public final class HintStore {
    private final int maxKeysPerVoter;
    private final Map<String, LinkedHashSet<String>> keysByVoter = new TreeMap<>();

    /** Creates an empty store that drops a voter's oldest key when it would hold more than these for it. */
    public HintStore(final int maxKeysPerVoter) {
        this.maxKeysPerVoter = maxKeysPerVoter;
    }

    /** Adds a register's key for a voter; no effect if it is held already. */
    public void add(final String voter, final String key) {
        final LinkedHashSet<String> keys = keysByVoter.computeIfAbsent(voter, v -> new LinkedHashSet<>());
        keys.add(key);
        if (keys.size() > maxKeysPerVoter) {
            keys.remove(keys.iterator().next());
        }
    }

    /** Removes and returns a voter's oldest keys, at most so many. */
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

    /** Returns how many keys are held for each voter, in the order of their names. */
    public Map<String, Integer> sizes() {
        final Map<String, Integer> sizes = new TreeMap<>();
        keysByVoter.forEach((voter, keys) -> sizes.put(voter, keys.size()));
        return sizes;
    }
}
