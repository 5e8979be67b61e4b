package spokestall.configuration;

import java.util.List;
import spokestall.message.SinceVersion;

/**
 * One change to the configuration, as it is proposed, stored and sent. It is encoded by the order of its components.
 *
 * @param changeId the id of the operator's request
 * @param kind what {@code json} is
 * @param json the change, as UTF-8 text
 * @param acceptedMs the fleet's time when it was proposed, in milliseconds; 0 if it wasn't known
 * @param before in the first change of a generation, the changes that committed before it; else empty
 */
public record ConfigurationChange(
        String changeId,
        Kind kind,
        byte[] json,
        @SinceVersion(4) long acceptedMs,
        @SinceVersion(4) List<CommittedChange> earlierChanges) {
    /** How a change's JSON is applied. Encoded by ordinal. */
    public enum Kind {
        /** It replaces the configuration. */
        PUT,
        /** It is a JSON merge patch of the configuration. */
        PATCH
    }

    /** A change that a program of an older version encoded has no list. */
    public ConfigurationChange {
        earlierChanges = earlierChanges == null ? List.of() : earlierChanges;
    }

    /** Creates a change within a generation. */
    public ConfigurationChange(final String changeId, final Kind kind, final byte[] json, final long acceptedMs) {
        this(changeId, kind, json, acceptedMs, List.of());
    }
}
