package spokestall.policy;

import java.util.List;
import spokestall.wire.Since;

/**
 * One accepted change: the whole policy anew, or a part as a JSON merge patch, and the fleet's time when it was proposed. A
 * generation's first change also says which orders were accepted before it.
 */
public record Change(
        String changeId,
        Kind kind,
        byte[] json,
        @Since(4) long acceptedMs,
        @Since(4) List<AcceptedOrder> before) {
    /** Whole or part. */
    public enum Kind {
        PUT,
        PATCH
    }

    /** Programs of older versions tell no orders. */
    public Change {
        before = before == null ? List.of() : before;
    }

    /** Example: {@code new Change("chg-1", Change.Kind.PATCH, json, fleet.nowMs())} */
    public Change(final String changeId, final Kind kind, final byte[] json, final long acceptedMs) {
        this(changeId, kind, json, acceptedMs, List.of());
    }
}
