package spokestall.io.http;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The condition under which a request may be sent, and the listener that is notified when it is.
 *
 * @param executor runs {@code deadline}
 * @param deadline returns the monotonic time in ms at which the request may no longer be sent. Called once the connection is open;
 *     the I/O thread compares the result with its clock again immediately before it sends the first bytes
 * @param onSent called on the I/O thread once the request's first bytes are on their way
 */
public record SendGate(Executor executor, LongSupplier deadline, Consumer<Transmission> onSent) {
    /** Lets every request pass. */
    public static final SendGate OPEN = new SendGate(Runnable::run, () -> Long.MAX_VALUE, transmission -> {});
}
