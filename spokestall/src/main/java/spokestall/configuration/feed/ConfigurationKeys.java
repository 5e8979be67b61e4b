package spokestall.configuration.feed;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Register;

/**
 * The register keys of configuration versions: {@code policy/} and the version in 19 digits, so that keys sort as versions
 * do. The keys are stored by acceptors and must not change.
 */
public final class ConfigurationKeys {
    private static final String PREFIX = "policy/";
    /** Sorts right after every key with the prefix. */
    private static final String PREFIX_END = "policy0";
    /** What {@link #versionOf} returns for a key of something else. */
    private static final long NO_VERSION = -1;

    private ConfigurationKeys() {}

    /** Returns the key of a version, which must not be negative. */
    public static String keyOf(final long version) {
        return PREFIX + String.format("%019d", version);
    }

    /** Returns the version of a key, or -1 if it is the key of something else. */
    public static long versionOf(final String key) {
        return key.startsWith(PREFIX) ? Long.parseLong(key.substring(PREFIX.length())) : NO_VERSION;
    }

    /**
     * Returns the version up to which registers may be dropped, given a snapshot that is stored elsewhere. The registers
     * after it are the newest up to the snapshot's version, bounded by number and bytes; the newest one is always retained.
     *
     * @param registers an acceptor's registers by key
     * @param snapshotVersion the version that the stored snapshot holds
     * @param retainedMax how many registers to retain at most
     * @param retainedBytesMax how many bytes of values to retain at most
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

    /** Returns a copy of the keys of all versions up to and including one, in order. */
    public static List<String> keysUpTo(final TreeMap<String, Register> registers, final long version) {
        return List.copyOf(registers.subMap(PREFIX, true, keyOf(version), true).keySet());
    }

    /** Returns the newest version for which an acceptor accepted a value, or 0. */
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
