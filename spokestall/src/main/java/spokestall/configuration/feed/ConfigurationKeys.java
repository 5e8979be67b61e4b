package spokestall.configuration.feed;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.Register;

/** The register keys of configuration versions. */
public final class ConfigurationKeys {
    private static final String PREFIX = "policy/";

    private ConfigurationKeys() {}

    /** Example: {@code ConfigurationKeys.key(17)} gives {@code configuration/0000000000000000017}. */
    public static String key(final long version) {
        return PREFIX + String.format("%019d", version);
    }

    /** The version of a key, or -1. */
    public static long of(final String key) {
        return key.startsWith(PREFIX) ? Long.parseLong(key.substring(PREFIX.length())) : -1;
    }

    /** The version up to which registers may be let go when all up to {@code snapshot} is kept in another form: those after
     * it are the newest of at most so many and so many bytes in all, the newest one always among them. */
    public static long floor(
            final TreeMap<String, Register> registers, final long snapshot, final int most, final long mostBytes) {
        long floor = snapshot - 1;
        long bytes = bytes(registers.get(key(snapshot)));
        int kept = 1;
        for (final Map.Entry<String, Register> e :
                registers.subMap(PREFIX, true, key(floor), true).descendingMap().entrySet()) {
            bytes += bytes(e.getValue());
            if (++kept > most || bytes > mostBytes) {
                return of(e.getKey());
            }
            floor = of(e.getKey()) - 1;
        }
        return floor;
    }

    private static long bytes(final Register register) {
        return register == null || register.value() == null ? 0 : register.value().length;
    }

    /** The keys of versions up to one, and of no others. */
    public static List<String> upTo(final TreeMap<String, Register> registers, final long version) {
        return List.copyOf(registers.subMap(PREFIX, true, key(version), true).keySet());
    }

    /** The newest version for which a voter accepted anything. */
    public static long newest(final TreeMap<String, Register> registers) {
        for (final Map.Entry<String, Register> e :
                registers.subMap(PREFIX, true, "policy0", false).descendingMap().entrySet()) {
            if (e.getValue().accepted().compareTo(ProposalNumber.NONE) > 0) {
                return of(e.getKey());
            }
        }
        return 0;
    }
}
