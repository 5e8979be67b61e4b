package spokestall.usage;

import java.util.List;
import java.util.Map;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** How counts reach whoever reports them. */
public sealed interface UsageMessage extends Message {
    /** One edge life's begun asks by tenant in one window; it only grows, until the edge says that it is closed. */
    record Count(String edge, long incarnation, long window, Map<String, Long> begun, boolean closed) {}

    /** An edge's counts, pushed to every core. */
    record Counts(String from, long stamp, List<Count> counts) implements UsageMessage {}

    /** A core, in its present life, has the counts of that push. */
    record CountsAcknowledged(
            String name, long stamp, @SinceVersion(3) long incarnation) implements UsageMessage {}

    /** Asks a core for all it has of a window. */
    record CountsRequest(String from, long window) implements UsageMessage {}

    /** The reply to {@link CountsRequest}. */
    record CountsResponse(String name, long window, List<Count> counts) implements UsageMessage {}
}
