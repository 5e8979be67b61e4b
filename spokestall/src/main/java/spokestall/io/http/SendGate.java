package spokestall.io.http;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The condition under which a request may be sent, and the listener that is notified when it is.
 *
 * @param executor runs {@code deadline}
 * @param deadline returns the monotonic time in ms at which the request may no longer be sent. Called once the connection is open;
 *     the I/O thread compares the result with its clock again immediately before it sends the first bytes
 * @param endsCall whether the request may no longer arrive after the deadline either. Then the call ends at the deadline by a reset
 *     of its connection, as it does at the process's end, so that the kernel doesn't send the request again; and a request isn't sent
 *     if less time is left than its connection took to open
 * @param onSent called on the I/O thread once the request's first bytes are on their way; of a request that is held, once its last byte
 *     is
 * @param onHeld if present, the request is sent but for its last byte, and handed to this on {@code executor}, to be released or
 *     abandoned. Until its release a request counts as not sent. Its body must have two bytes or more
 */
public record SendGate(
        Executor executor,
        LongSupplier deadline,
        boolean endsCall,
        Consumer<Transmission> onSent,
        Optional<Consumer<HeldRequest>> onHeld) {
    /** Lets every request pass. */
    public static final SendGate OPEN = new SendGate(Runnable::run, () -> Long.MAX_VALUE, false, transmission -> {});

    /** Creates a gate for requests that are sent in one go. */
    public SendGate(
            final Executor executor,
            final LongSupplier deadline,
            final boolean endsCall,
            final Consumer<Transmission> onSent) {
        this(executor, deadline, endsCall, onSent, Optional.empty());
    }
}
