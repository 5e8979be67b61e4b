package spokestall.usage;

import java.util.List;
import java.util.Map;
import spokestall.message.Message;
import spokestall.message.SinceVersion;

/** Messages that send counts from edges to cores, and from cores to the node that holds the usage report lease. */
public sealed interface UsageMessage extends Message {
    /**
     * An edge's counts of one window. The counts only increase until the edge closes the window.
     *
     * @param edge the edge's name
     * @param incarnation the incarnation of the edge's process
     * @param window the window's number
     * @param startedByTenant the number of requests that upstreams began, by tenant
     * @param closed whether the edge has closed the window, so that it counts no more requests in it
     */
    record Count(String edge, long incarnation, long window, Map<String, Long> startedByTenant, boolean closed) {}

    /**
     * An edge's counts, pushed to every core. Cores also store their own tables in this form.
     *
     * @param sender the edge's address
     * @param pushId identifies the push in {@link CountsAcknowledged}
     * @param counts the counts that changed since the previous push
     */
    record Counts(String sender, long pushId, List<Count> counts) implements UsageMessage {}

    /**
     * Acknowledges that a core's current incarnation has received the counts of a push.
     *
     * @param core the core's name
     * @param pushId the id of the push
     * @param incarnation the incarnation of the core's process; 0 from older program versions that don't send it
     */
    record CountsAcknowledged(
            String core, long pushId, @SinceVersion(3) long incarnation) implements UsageMessage {}

    /**
     * Requests all counts of a window from a core.
     *
     * @param sender the address of the lease holder
     * @param window the window's number
     */
    record CountsRequest(String sender, long window) implements UsageMessage {}

    /**
     * Answers a {@link CountsRequest}.
     *
     * @param core the core's name
     * @param window the window's number
     * @param counts the counts of every edge incarnation that the core knows
     */
    record CountsResponse(String core, long window, List<Count> counts) implements UsageMessage {}
}
