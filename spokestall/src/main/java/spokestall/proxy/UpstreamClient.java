package spokestall.proxy;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Sends attempts to upstreams; implemented by the I/O layer. */
public interface UpstreamClient {
    /**
     * Sends an attempt.
     *
     * @param until returns the time on the monotonic clock until which the first bytes may be sent; called on the event loop when
     *     a connection is open. The time is checked again right before the bytes are sent. If it is in the past, nothing is sent.
     * @param sent called on the event loop when the first bytes have been sent, before {@code done}
     * @param done receives the attempt's result, once, on the event loop
     * @return the handle that cancels the attempt
     */
    AttemptHandle attempt(Attempt attempt, LongSupplier until, Runnable sent, Consumer<AttemptResult> done);
}
