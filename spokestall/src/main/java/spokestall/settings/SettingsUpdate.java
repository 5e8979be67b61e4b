package spokestall.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Newer settings met by a running node: the settings it goes on with, the keys whose new values it takes, and the keys
 * whose new values wait for its next start. Addresses, identities, sizes of what was allocated and spans that nodes
 * agree on (leases, windows) are never changed in a running node.
 */
public record SettingsUpdate(Settings settings, Set<String> taken, Set<String> waiting) {
    /** Keys whose values a running node can replace: nothing allocated or agreed on depends on them. */
    static final Set<String> LIVE = Set.of(
            "seeds",
            "freshMs",
            "retryShare",
            "retryAllowance",
            "retryAfterMs",
            "warmRatio",
            "warmSlack",
            "askSpanMaxMs",
            "stopWaitMs",
            "whereS");

    /** What a node that runs with some settings makes of newer ones, each set good by itself. A new value that does
     * not fit what stays in force waits too. */
    public static SettingsUpdate of(final Settings inForce, final Settings newer, final boolean core) {
        final Set<String> changed = changed(inForce.values(), newer.values());
        final Set<String> taken = new TreeSet<>(changed);
        taken.retainAll(LIVE);
        Settings.Read mixed = mixed(inForce, newer, taken, core);
        while (mixed instanceof Settings.Read.Bad bad) {
            if (!taken.removeAll(keys(bad.errors()))) {
                taken.clear();
            }
            mixed = mixed(inForce, newer, taken, core);
        }
        final Set<String> waiting = new TreeSet<>(changed);
        waiting.removeAll(taken);
        return new SettingsUpdate(((Settings.Read.Good) mixed).settings(), taken, waiting);
    }

    private static Set<String> changed(final Map<String, String> before, final Map<String, String> after) {
        final Set<String> changed = new TreeSet<>();
        after.forEach((key, value) -> {
            if (!Objects.equals(value, before.get(key))) {
                changed.add(key);
            }
        });
        return changed;
    }

    private static Settings.Read mixed(
            final Settings inForce, final Settings newer, final Set<String> taken, final boolean core) {
        final Map<String, String> values = new TreeMap<>(inForce.values());
        taken.forEach(key -> values.put(key, newer.values().get(key)));
        return Settings.read(null, values, core);
    }

    private static List<String> keys(final List<Settings.ValidationError> errors) {
        final List<String> keys = new ArrayList<>();
        errors.forEach(error -> keys.add(error.key()));
        return keys;
    }
}
