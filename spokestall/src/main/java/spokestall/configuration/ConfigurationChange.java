package spokestall.configuration;

import java.util.List;
import spokestall.message.SinceVersion;

/**
 * A change to the configuration, in the form that is proposed, stored and sent. It is encoded in the order of its components.
 *
 * @param changeId the id of the operator's request
 * @param kind how {@code json} is applied
 * @param json the change as UTF-8 JSON text
 * @param acceptedMs the fleet time at which the change was proposed, in milliseconds; 0 if it was unknown
 * @param earlierChanges in the first change of a generation, the retained changes that committed before it; otherwise empty
 */
public record ConfigurationChange(
        String changeId,
        Kind kind,
        byte[] json,
        @SinceVersion(4) long acceptedMs,
        @SinceVersion(4) List<CommittedChange> earlierChanges) {
    /** How a change's JSON is applied. Encoded by ordinal. */
    public enum Kind {
        /** The JSON replaces the whole configuration. */
        PUT,
        /** The JSON is a merge patch of the configuration. */
        PATCH
    }

    /** Creates a change. A change that was encoded by an older version of the program has no list of earlier changes. */
    public ConfigurationChange {
        earlierChanges = earlierChanges == null ? List.of() : earlierChanges;
    }

    /** Creates a change that isn't the first of a generation. */
    public ConfigurationChange(final String changeId, final Kind kind, final byte[] json, final long acceptedMs) {
        this(changeId, kind, json, acceptedMs, List.of());
    }
}
