package spokestall.handoff;

import spokestall.message.Message;
import spokestall.message.ResponseContent;

/** Messages with which nodes store data for each other. Encoded by the order of their components, which must not change. */
public sealed interface HandoffMessage extends Message {
    /**
     * Stores the response to an idempotent request. Nodes send it only to cores in the tenant's home regions, which the content
     * must not leave.
     *
     * @param key the key of the request's claim
     * @param digest the digest of the content, as stored in the claim's register
     */
    record Store(String key, String digest, ResponseContent content) implements HandoffMessage {}

    /**
     * Requests a stored response. The reply is a {@link FetchResult}.
     *
     * @param from the address to which the receiver replies
     * @param requestId the requesting node's id for this request, which the reply repeats
     * @param key the key of the request's claim
     * @param digest the digest that the response must have
     */
    record Fetch(String from, long requestId, String key, String digest) implements HandoffMessage {}

    /** Asks a core to store a hint: the key of a register of which a voter missed a change. */
    record Hint(String voter, String key) implements HandoffMessage {}

    /** The reply to a {@link Fetch}. The content is null if the node doesn't have the response. */
    record FetchResult(long requestId, String key, ResponseContent content) implements HandoffMessage {}
}
