package spokestall.io.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import spokestall.message.Header;

/**
 * The parameters of one HTTP exchange.
 *
 * @param instance the instance expected at the address, {@link #ANY_INSTANCE} for any; an idle connection that was opened to an
 *     instance that had the address before is not reused
 * @param timeoutMillis the time for the whole exchange
 * @param connectTimeoutMs the time for the connection to open; after it the exchange ends, and nothing was sent
 * @param responseMaxBytes the largest response body that is accepted
 * @param freshConnection whether to open a new connection even if an idle one could be reused
 * @param idempotent whether the request may be sent twice; others don't reuse a connection that has been idle for long, since the
 *     peer may have closed it
 * @param gate the condition under which the request may be sent
 */
public record HttpCall(
        String address,
        String instance,
        String method,
        String target,
        List<Header> headers,
        byte[] body,
        long timeoutMillis,
        long connectTimeoutMs,
        int responseMaxBytes,
        boolean freshConnection,
        boolean idempotent,
        SendGate gate) {
    /** Any instance that has the address. */
    public static final String ANY_INSTANCE = "";

    /** Checks that a request that is held back has a byte to hold back, and one to send first. */
    public HttpCall {
        if (gate.onHeld().isPresent() && body.length < 2) {
            throw new IllegalArgumentException("expected a body of two bytes or more, found " + body.length);
        }
    }

    /** Creates an idempotent call to any instance, without a deadline for sending. */
    public static HttpCall withoutGate(
            final String address,
            final String method,
            final String target,
            final Map<String, String> headers,
            final byte[] body,
            final long timeoutMillis,
            final int responseMaxBytes) {
        return new HttpCall(
                address,
                ANY_INSTANCE,
                method,
                target,
                list(headers),
                body,
                timeoutMillis,
                timeoutMillis,
                responseMaxBytes,
                false,
                true,
                SendGate.OPEN);
    }

    static List<Header> list(final Map<String, String> headers) {
        final List<Header> all = new ArrayList<>();
        headers.forEach((name, value) -> all.add(new Header(name, value)));
        return all;
    }
}
