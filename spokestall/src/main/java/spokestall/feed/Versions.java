package spokestall.feed;

import java.util.Map;
import java.util.TreeMap;
import spokestall.ballot.Ballot;
import spokestall.ballot.Register;

/** The register keys of policy versions. */
public final class Versions {
    private static final String PREFIX = "policy/";

    private Versions() {}

    /** Example: {@code Versions.key(17)} gives {@code policy/0000000000000000017}. */
    public static String key(final long version) {
        return PREFIX + String.format("%019d", version);
    }

    /** The version of a key, or -1. Example: {@code Versions.of("policy/0000000000000000017") == 17} */
    public static long of(final String key) {
        return key.startsWith(PREFIX) ? Long.parseLong(key.substring(PREFIX.length())) : -1;
    }

    /** The newest version for which a voter accepted anything. Example: {@code Versions.newest(voter.registers())} */
    public static long newest(final TreeMap<String, Register> registers) {
        for (final Map.Entry<String, Register> e :
                registers.subMap(PREFIX, true, "policy0", false).descendingMap().entrySet()) {
            if (e.getValue().accepted().compareTo(Ballot.NONE) > 0) {
                return of(e.getKey());
            }
        }
        return 0;
    }
}
