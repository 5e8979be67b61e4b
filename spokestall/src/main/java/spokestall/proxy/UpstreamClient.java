package spokestall.proxy;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Sends attempts to upstreams; implemented by the I/O layer. */
public interface UpstreamClient {
    /**
     * Sends an attempt.
     *
     * @param until asked on the event loop when a connection is open: until when, on the monotonic clock, the first bytes may
     *     leave; checked once more in the moment they do. A time in the past means not at all.
     * @param sent run on the event loop when the first bytes have left, before {@code done}
     * @param done receives how the attempt ended, once, on the event loop
     * @return breaks the attempt off
     */
    AttemptHandle attempt(Attempt attempt, LongSupplier until, Runnable sent, Consumer<AttemptResult> done);
}
