package spokestall.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Result of a settings reload in a running node. Addresses, identities, allocated sizes and durations that nodes must agree on
 * (leases, windows) never change in a running node; their new values take effect at its next start. Immutable.
 *
 * @param settings the settings that the node continues with: those in force, with the applied values
 * @param applied keys whose new values are applied now
 * @param pending keys whose new values take effect at the next start
 */
public record SettingsUpdate(Settings settings, Set<String> applied, Set<String> pending) {
    /** Keys whose values a running node can replace: no allocated size and nothing that nodes agree on depends on them. */
    static final Set<String> RELOADABLE_KEYS = Set.of(
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

    /**
     * Compares newer valid settings with those in force. A reloadable value that is invalid in combination with the values that
     * stay in force is pending too.
     */
    public static SettingsUpdate of(final Settings inForce, final Settings newer, final boolean core) {
        final Set<String> changed = changedKeys(inForce.values(), newer.values());
        final Set<String> applied = new TreeSet<>(changed);
        applied.retainAll(RELOADABLE_KEYS);
        SettingsResult merged = merge(inForce, newer, applied, core);
        while (merged instanceof SettingsResult.Invalid invalid) {
            if (!applied.removeAll(keys(invalid.errors()))) {
                applied.clear();
            }
            merged = merge(inForce, newer, applied, core);
        }
        final Set<String> pending = new TreeSet<>(changed);
        pending.removeAll(applied);
        return new SettingsUpdate(((SettingsResult.Valid) merged).settings(), applied, pending);
    }

    private static Set<String> changedKeys(final Map<String, String> before, final Map<String, String> after) {
        final Set<String> changed = new TreeSet<>();
        after.forEach((key, value) -> {
            if (!Objects.equals(value, before.get(key))) {
                changed.add(key);
            }
        });
        return changed;
    }

    private static SettingsResult merge(
            final Settings inForce, final Settings newer, final Set<String> applied, final boolean core) {
        final Map<String, String> values = new TreeMap<>(inForce.values());
        applied.forEach(key -> values.put(key, newer.values().get(key)));
        return SettingsReader.read(null, values, core);
    }

    private static List<String> keys(final List<SettingsError> errors) {
        final List<String> keys = new ArrayList<>();
        errors.forEach(error -> keys.add(error.key()));
        return keys;
    }
}
