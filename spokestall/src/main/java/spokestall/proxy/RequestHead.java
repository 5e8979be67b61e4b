package spokestall.proxy;

import java.util.List;
import spokestall.message.Header;

/**
 * A request without its body.
 *
 * @param host the host from the Host header without its port, empty if there is none
 * @param target the request target as the client sent it
 * @param key the client's API key, null if the request has none
 * @param requestId the request id from the client, null if the request has none
 * @param remainingMs the time until the request's deadline, {@code Long.MIN_VALUE} if the client sent an invalid one
 * @param bodyBytes the length of the body, negative if it isn't known yet
 * @param headers the end-to-end headers
 */
public record RequestHead(
        String method,
        String host,
        String target,
        String key,
        String requestId,
        long remainingMs,
        long bodyBytes,
        List<Header> headers) {
    /** Returns this head with the remaining time reduced by the time that the request has waited. */
    public RequestHead afterWaiting(final long waitedMs) {
        return remainingMs == Long.MIN_VALUE
                ? this
                : new RequestHead(method, host, target, key, requestId, remainingMs - waitedMs, bodyBytes, headers);
    }
}
