package spokestall.configuration.change;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.api.Reply;

/**
 * The one reply to the caller of a change: its result, or before that a notice that it is still in progress. What comes second is
 * dropped.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
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

    /** Gives the reply, unless one was given. */
    void send(final ChangeResult result) {
        if (!sent) {
            sent = true;
            callback.accept(result.toReply(changeId, appliedVersion.getAsLong()));
        }
    }
}
