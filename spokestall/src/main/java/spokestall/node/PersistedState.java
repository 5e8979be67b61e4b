package spokestall.node;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import spokestall.consensus.Acceptor;
import spokestall.message.Message;
import spokestall.message.MessageCodec;

/**
 * A part of a core's memory that also lies on its disk, so that a core that starts need not wait for others to tell it: what
 * it was before the last loss, written as a note of the newest version, at most once a beat and while no write is under way.
 */
final class PersistedState {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int BYTES_MAX = 256 << 10;
    private final Acceptor acceptor;
    private final String key;
    private final LongSupplier changes;
    private final Supplier<Message> now;
    private long written;
    private boolean writing;

    PersistedState(final Acceptor acceptor, final String key, final LongSupplier changes, final Supplier<Message> now) {
        this.acceptor = acceptor;
        this.key = key;
        this.changes = changes;
        this.now = now;
    }

    /** What was kept, or null. */
    <T extends Message> T read(final Class<T> type) {
        final byte[] had = acceptor.own(key);
        try {
            return had == null ? null : type.cast(MessageCodec.decode(had));
        } catch (final IOException | ClassCastException e) {
            LOG.atWarning().log("event=kept_unread key=%s why=\"%s\"", key, e.getMessage());
            return null;
        }
    }

    void tick() {
        final long change = changes.getAsLong();
        if (writing || change == written) {
            return;
        }
        final byte[] bytes = MessageCodec.encode(now.get(), MessageCodec.CURRENT_VERSION);
        if (bytes.length > BYTES_MAX) {
            return;
        }
        writing = true;
        acceptor.keepOwn(key, bytes, ok -> {
            writing = false;
            written = ok ? change : written;
        });
    }
}
