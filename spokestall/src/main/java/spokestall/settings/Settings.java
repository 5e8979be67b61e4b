package spokestall.settings;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A node's validated settings, read by {@link SettingsReader}.
 *
 * <p>Settings are looked up by the names that operators write; an unknown name is a programming error. The unit is part of the
 * name: {@code ...Ms} milliseconds, {@code ...S} seconds, {@code ...Bytes} bytes. Internal durations are derived as fractions of
 * the bounds set here, see {@link #fractionOf}.
 *
 * <p>Immutable and thread-safe. A reload creates another instance, see {@link SettingsUpdate}.
 */
public final class Settings {
    /** Fraction of {@code leaveBoundMs} after which a peer that sends no messages counts as dead. */
    private static final double PEER_TIMEOUT_RATIO = 0.3;

    private static final int PEER_TIMEOUT_PROOF_INTERVALS = 3;

    private final Map<String, String> values;

    /** @param values every key with its value as given, or its default */
    Settings(final Map<String, String> values) {
        this.values = values;
    }

    /** Returns the settings section of the help: one line per setting with its description and default. */
    public static String help() {
        return SettingDefinitions.help();
    }

    /** Returns every key with its value as given, or its default. */
    Map<String, String> values() {
        return values;
    }

    /** Returns a setting's value as text. */
    public String text(final String key) {
        return values.get(key);
    }

    /** Returns a number, truncated to an integer. */
    public long integer(final String key) {
        return (long) number(key);
    }

    /** Returns a number. A default that is a fraction of another setting is rounded to an integer. */
    public double number(final String key) {
        final String value = values.get(key);
        final SettingDefinition.Fraction defaultFraction =
                SettingDefinitions.all().get(key).defaultFraction();
        return value.isEmpty() && defaultFraction != null
                ? Math.rint(defaultFraction.ratio() * number(defaultFraction.baseKey()))
                : Double.parseDouble(value);
    }

    /** Returns a number times a ratio, rounded, in the number's unit; at least 1. */
    public long fractionOf(final String key, final double ratio) {
        return Math.max(1, Math.round(number(key) * ratio));
    }

    /** Returns how long a node counts as alive after its last message, in milliseconds. */
    public long peerTimeoutMillis() {
        return Math.max(
                fractionOf("leaveBoundMs", PEER_TIMEOUT_RATIO), PEER_TIMEOUT_PROOF_INTERVALS * integer("proofMs"));
    }

    /** Returns the address (IP and port) on which the node listens for other nodes. */
    public String listenAddress() {
        return text("listen").isEmpty() ? text("address") : text("listen");
    }

    /** Returns the address (IP and port) on which the node listens for operators, separate from that for clients. */
    public String operatorAddress() {
        final String http = text("http");
        return text("operators").isEmpty()
                ? "127.0.0.1:" + (Integer.parseInt(http.substring(http.indexOf(':') + 1)) + 1)
                : text("operators");
    }

    /** Returns the networks from which the node accepts connections of other nodes, separated by commas. */
    public String peerNetworks() {
        final String own = text("address");
        return text("peers").isEmpty() ? own.substring(0, own.indexOf(':')) + "/16" : text("peers");
    }

    /** Returns the seeds' addresses (IP and port). */
    public List<String> seeds() {
        return List.of(text("seeds").split(","));
    }

    /** Returns every zone with its region. */
    public Map<String, String> zones() {
        final Map<String, String> regionsByZone = new TreeMap<>();
        for (final String zone : text("districts").split(",")) {
            final int equals = zone.indexOf('=');
            regionsByZone.put(zone.substring(0, equals), zone.substring(equals + 1));
        }
        return regionsByZone;
    }

    /** Returns a zone's region, null if there is no such zone. */
    public String region(final String zone) {
        return zones().get(zone);
    }

    /** Returns this node's region. */
    public String region() {
        return region(text("district"));
    }

    /** Returns every region. */
    public Set<String> regions() {
        return new TreeSet<>(zones().values());
    }
}
