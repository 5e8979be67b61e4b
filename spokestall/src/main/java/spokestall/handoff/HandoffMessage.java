package spokestall.handoff;

import spokestall.message.Message;
import spokestall.message.ResponseContent;

/** Messages by which nodes keep data for one another. Encoded by the order of their components, which must not change. */
public sealed interface HandoffMessage extends Message {
    /**
     * The response of an idempotent request. It is sent to cores of the tenant's home regions only, since the content must
     * not leave them.
     *
     * @param key the claim's key
     * @param digest the content's digest, as the claim's register holds it
     */
    record Store(String key, String digest, ResponseContent content) implements HandoffMessage {}

    /**
     * Requests a stored response; answered by a {@link FetchResult}.
     *
     * @param from the address to answer to
     * @param requestId the requesting node's own number, returned in the answer
     * @param key the claim's key
     * @param digest the digest that the response must have
     */
    record Fetch(String from, long requestId, String key, String digest) implements HandoffMessage {}

    /** Has a core keep a register's key for a voter that missed a change of the register. */
    record Hint(String voter, String key) implements HandoffMessage {}

    /** The answer to a {@link Fetch}; the content is null if the node has no such response. */
    record FetchResult(long requestId, String key, ResponseContent content) implements HandoffMessage {}
}
