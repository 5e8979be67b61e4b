package spokestall.configuration.change;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.api.Reply;

/**
 * Sends exactly one reply to the caller of a change: either its result or an earlier notice that it is still in progress. Later
 * replies are dropped.
 *
 * <p>Not thread-safe; call only on the node's event loop.
 */
final class CallerReply {
    private final String changeId;
    private final LongSupplier appliedVersion;
    private final Consumer<Reply> callback;
    private boolean sent;

    CallerReply(final String changeId, final LongSupplier appliedVersion, final Consumer<Reply> callback) {
        this.changeId = changeId;
        this.appliedVersion = appliedVersion;
        this.callback = callback;
    }

    /** Sends a reply unless one has already been sent. */
    void send(final ChangeResult result) {
        if (!sent) {
            sent = true;
            callback.accept(result.toReply(changeId, appliedVersion.getAsLong()));
        }
    }
}
