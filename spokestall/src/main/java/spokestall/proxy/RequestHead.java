package spokestall.proxy;

import java.util.List;
import spokestall.message.Header;

/** What is known of an ask before its body is read; headers are the end-to-end ones, host is empty where it does not count, key is null where none came, target is as it came, spanMs is what remains until its deadline. */
public record RequestHead(
        String method,
        String host,
        String target,
        String key,
        String requestId,
        long spanMs,
        long bodyBytes,
        List<Header> headers) {
    /** The same, after so much of its span is over. */
    public RequestHead later(final long waitedMs) {
        return spanMs == Long.MIN_VALUE
                ? this
                : new RequestHead(method, host, target, key, requestId, spanMs - waitedMs, bodyBytes, headers);
    }
}
