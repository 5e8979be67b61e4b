package spokestall.node;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import spokestall.consensus.Acceptor;
import spokestall.message.Message;
import spokestall.message.MessageCodec;

/**
 * State in a core's memory that is also written to its disk, so that a restarted core need not wait for the other
 * nodes. The state is stored as one message under one key, in the newest message version. It is written at most once
 * per tick, with at most one write in flight. State of more than {@value #MAX_BYTES} bytes is not written; the older
 * state on disk remains.
 *
 * <p>Not thread-safe; all calls on the node's event loop.
 */
final class PersistedState {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int MAX_BYTES = 256 << 10;
    private final Acceptor acceptor;
    private final String key;
    private final LongSupplier changeCount;
    private final Supplier<Message> currentState;
    private long writtenChangeCount;
    private boolean writing;

    /**
     * Creates the persisted state of one component.
     *
     * @param changeCount returns a number that differs whenever {@code currentState} returns a different state
     */
    PersistedState(
            final Acceptor acceptor,
            final String key,
            final LongSupplier changeCount,
            final Supplier<Message> currentState) {
        this.acceptor = acceptor;
        this.key = key;
        this.changeCount = changeCount;
        this.currentState = currentState;
    }

    /**
     * Returns the state on this disk, or null if there is none or it can't be decoded; the core then obtains the state
     * from other nodes.
     */
    <T extends Message> T read(final Class<T> type) {
        final byte[] stored = acceptor.localRecord(key);
        try {
            return stored == null ? null : type.cast(MessageCodec.decode(stored));
        } catch (final IOException | ClassCastException e) {
            LOG.atWarning().log("event=persisted_state_unreadable key=%s reason=\"%s\"", key, e.getMessage());
            return null;
        }
    }

    /** Writes the state if it changed since the last successful write. */
    void tick() {
        final long changes = changeCount.getAsLong();
        if (writing || changes == writtenChangeCount) {
            return;
        }
        final byte[] bytes = MessageCodec.encode(currentState.get(), MessageCodec.CURRENT_VERSION);
        if (bytes.length > MAX_BYTES) {
            return;
        }
        writing = true;
        acceptor.putLocalRecord(key, bytes, synced -> {
            writing = false;
            writtenChangeCount = synced ? changes : writtenChangeCount;
        });
    }
}
