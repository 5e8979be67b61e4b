package spokestall.handoff;

import spokestall.message.Message;
import spokestall.message.ResponseContent;

/** What nodes keep for one another and hand over. */
public sealed interface HandoffMessage extends Message {
    /** A run-once ask's answer, for cores of the tenant's home regions only. */
    record Store(String key, String digest, ResponseContent content) implements HandoffMessage {}

    /** Asks for a kept answer. */
    record Fetch(String from, long requestId, String key, String digest) implements HandoffMessage {}

    /** Asks a core to keep the name of a register for a voter that missed it. */
    record Hint(String missing, String key) implements HandoffMessage {}

    /** The reply to {@link Fetch}; content is null when there is none. */
    record FetchResult(long requestId, String key, ResponseContent content) implements HandoffMessage {}
}
