package spokestall.io.http;

import io.undertow.util.HeaderMap;

/** How an HTTP exchange with an outside system ended. */
public sealed interface HttpResult {
    /** A whole, framed answer. */
    record Complete(int status, HeaderMap headers, byte[] body) implements HttpResult {
        /** A header, or null. */
        public String header(final String name) {
            return headers.getFirst(name);
        }
    }

    /** No byte left. */
    record NotSent(String reason) implements HttpResult {}

    /** Bytes may have left. */
    record Lost(String reason) implements HttpResult {}
}
