package spokestall.configuration;

import java.util.List;
import spokestall.message.SinceVersion;

/**
 * One accepted change: the whole configuration anew, or a part as a JSON merge patch, and the fleet's time when it was proposed. A
 * generation's first change also says which orders were accepted before it.
 */
public record ConfigurationChange(
        String changeId,
        Kind kind,
        byte[] json,
        @SinceVersion(4) long acceptedMs,
        @SinceVersion(4) List<CommittedChange> before) {
    /** Whole or part. */
    public enum Kind {
        PUT,
        PATCH
    }

    /** Programs of older versions tell no orders. */
    public ConfigurationChange {
        before = before == null ? List.of() : before;
    }

    /** Example: {@code new ConfigurationChange("chg-1", ConfigurationChange.Kind.PATCH, json, fleet.nowMs())} */
    public ConfigurationChange(final String changeId, final Kind kind, final byte[] json, final long acceptedMs) {
        this(changeId, kind, json, acceptedMs, List.of());
    }
}
