package spokestall.configuration.feed;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Register;

/**
 * Converts configuration versions to register keys and back. A key is {@code policy/} followed by the version in 19 digits,
 * so that keys sort in version order. Acceptors store the keys, so their format must not change.
 */
public final class ConfigurationKeys {
    private static final String PREFIX = "policy/";
    /** The exclusive upper bound of all keys with the prefix. */
    private static final String PREFIX_END = "policy0";
    /** The result of {@link #versionOf} for a key that isn't a configuration version's. */
    private static final long NO_VERSION = -1;

    private ConfigurationKeys() {}

    /** Returns the key of a version; the version must not be negative. */
    public static String keyOf(final long version) {
        return PREFIX + String.format("%019d", version);
    }

    /** Returns the version of a key, or -1 if the key isn't a configuration version's. */
    public static long versionOf(final String key) {
        return key.startsWith(PREFIX) ? Long.parseLong(key.substring(PREFIX.length())) : NO_VERSION;
    }

    /**
     * Returns the version up to which an acceptor may drop registers once a snapshot is stored separately. Up to the snapshot's
     * version, the newest registers are retained, limited by count and total bytes; the register of the snapshot's version is
     * always retained.
     *
     * @param registers an acceptor's registers by key
     * @param snapshotVersion the version of the stored snapshot
     * @param retainedMax the maximum number of registers to retain
     * @param retainedBytesMax the maximum total size of the retained values, in bytes
     */
    public static long retentionFloor(
            final TreeMap<String, Register> registers,
            final long snapshotVersion,
            final int retainedMax,
            final long retainedBytesMax) {
        long floor = snapshotVersion - 1;
        long bytes = valueBytes(registers.get(keyOf(snapshotVersion)));
        int retained = 1;
        for (final Map.Entry<String, Register> entry : registers
                .subMap(PREFIX, true, keyOf(floor), true)
                .descendingMap()
                .entrySet()) {
            bytes += valueBytes(entry.getValue());
            if (++retained > retainedMax || bytes > retainedBytesMax) {
                return versionOf(entry.getKey());
            }
            floor = versionOf(entry.getKey()) - 1;
        }
        return floor;
    }

    private static long valueBytes(final Register register) {
        return register == null || register.value() == null ? 0 : register.value().length;
    }

    /** Returns the keys of all versions up to and including {@code version}, in ascending order, as a copy. */
    public static List<String> keysUpTo(final TreeMap<String, Register> registers, final long version) {
        return List.copyOf(registers.subMap(PREFIX, true, keyOf(version), true).keySet());
    }

    /** Returns the newest version for which an acceptor has accepted a value, or 0 if there is none. */
    public static long newestAccepted(final TreeMap<String, Register> registers) {
        for (final Map.Entry<String, Register> entry : registers
                .subMap(PREFIX, true, PREFIX_END, false)
                .descendingMap()
                .entrySet()) {
            if (entry.getValue().accepted().compareTo(ProposalNumber.NONE) > 0) {
                return versionOf(entry.getKey());
            }
        }
        return 0;
    }
}
