package spokestall.proxy;

import java.util.List;
import spokestall.message.Header;

/**
 * What is known of a request before its body is read.
 *
 * @param host empty where it doesn't count
 * @param target the request target as it came
 * @param key the client's key, null if none came
 * @param requestId the client's id of the request, null if none came
 * @param spanMs what remains until its deadline; {@code Long.MIN_VALUE} if that could not be read
 * @param bodyBytes its body's length, negative if that isn't known yet
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
    /** The same head after it has waited; less remains until its deadline. */
    public RequestHead afterWaiting(final long waitedMs) {
        return remainingMs == Long.MIN_VALUE
                ? this
                : new RequestHead(method, host, target, key, requestId, remainingMs - waitedMs, bodyBytes, headers);
    }
}
