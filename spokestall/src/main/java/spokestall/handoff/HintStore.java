package spokestall.handoff;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Names of registers that a missing voter should have heard of, kept by another until it is back; bounded for each. */
public final class HintStore {
    private final int most;
    private final Map<String, LinkedHashSet<String>> kept = new TreeMap<>();

    /** Example: {@code new HintStore(4096)}; beyond it the oldest are let go, and found again by later rounds. */
    public HintStore(final int most) {
        this.most = most;
    }

    /** Example: {@code hints.keep("d2-core", "once/tenant-1/pay-7");} */
    public void keep(final String missing, final String key) {
        final LinkedHashSet<String> keys = kept.computeIfAbsent(missing, m -> new LinkedHashSet<>());
        keys.add(key);
        if (keys.size() > most) {
            keys.remove(keys.iterator().next());
        }
    }

    /** Takes some of what is kept for one that is back. */
    public List<String> take(final String back, final int atMost) {
        final LinkedHashSet<String> keys = kept.get(back);
        final List<String> taken = new ArrayList<>();
        if (keys == null) {
            return taken;
        }
        final Iterator<String> it = keys.iterator();
        while (it.hasNext() && taken.size() < atMost) {
            taken.add(it.next());
            it.remove();
        }
        if (keys.isEmpty()) {
            kept.remove(back);
        }
        return taken;
    }

    /** How many are kept for each missing one. */
    public Map<String, Integer> sizes() {
        final Map<String, Integer> sizes = new TreeMap<>();
        kept.forEach((missing, keys) -> sizes.put(missing, keys.size()));
        return sizes;
    }
}
