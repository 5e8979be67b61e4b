package spokestall.io.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import spokestall.message.Header;

/**
 * One HTTP exchange to be had with an instance at an address; a connection kept from another instance, which had the
 * address before, is not used for it. When the wire is open, {@code sendDeadline} is asked on the gate's thread for the time until
 * which the first bytes may leave, and that is looked at again on the I/O thread right before they do; {@code onSent}
 * is run there once they have. A wire that rested long is used only for what is repeatable: it may have been closed at
 * its other end. A wire that is not open within connectMs is given up, and nothing was sent.
 */
public record HttpCall(
        String address,
        String instance,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        long timeoutMs,
        long connectTimeoutMs,
        int responseMaxBytes,
        boolean freshConnection,
        boolean idempotent,
        Executor gateExecutor,
        LongSupplier sendDeadline,
        Runnable onSent) {
    /** Whoever answers at the address. */
    public static final String ANY_INSTANCE = "";

    /** No gate: the bytes may leave whenever the wire is open. */
    public static HttpCall withoutGate(
            final String address,
            final String method,
            final String target,
            final Map<String, String> headers,
            final byte[] body,
            final long timeoutMs,
            final int responseMaxBytes) {
        return new HttpCall(
                address,
                ANY_INSTANCE,
                method,
                target,
                list(headers),
                body,
                timeoutMs,
                timeoutMs,
                responseMaxBytes,
                false,
                true,
                Runnable::run,
                () -> Long.MAX_VALUE,
                () -> {});
    }

    static List<Header> list(final Map<String, String> headers) {
        final List<Header> all = new ArrayList<>();
        headers.forEach((name, value) -> all.add(new Header(name, value)));
        return all;
    }
}
