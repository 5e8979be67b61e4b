package spokestall.usage;

import java.util.List;
import java.util.Map;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** The messages by which edges' counts reach the cores, and a core's counts the holder of the lease on the report. */
public sealed interface UsageMessage extends Message {
    /**
     * What one edge counted in one window. It only grows until the edge has closed the window.
     *
     * @param edge the edge's name
     * @param incarnation of that edge's process
     * @param window the window's number
     * @param startedByTenant requests that an upstream began, by tenant
     * @param closed whether the edge counts nothing more in this window
     */
    record Count(String edge, long incarnation, long window, Map<String, Long> startedByTenant, boolean closed) {}

    /**
     * An edge's counts, pushed to every core. A core's own table is stored in the same form.
     *
     * @param sender the edge's address
     * @param pushId names the push in {@link CountsAcknowledged}
     * @param counts what changed since the last push
     */
    record Counts(String sender, long pushId, List<Count> counts) implements UsageMessage {}

    /**
     * A core's present incarnation has the counts of a push.
     *
     * @param core the core's name
     * @param pushId of the push
     * @param incarnation of the core's process, 0 from programs that did not send it
     */
    record CountsAcknowledged(
            String core, long pushId, @SinceVersion(3) long incarnation) implements UsageMessage {}

    /**
     * Requests from a core all counts that it has of a window.
     *
     * @param sender the address of the lease's holder
     * @param window the window's number
     */
    record CountsRequest(String sender, long window) implements UsageMessage {}

    /**
     * The reply to {@link CountsRequest}.
     *
     * @param core the core's name
     * @param window the window's number
     * @param counts of every incarnation of an edge that the core knows
     */
    record CountsResponse(String core, long window, List<Count> counts) implements UsageMessage {}
}
