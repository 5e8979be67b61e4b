package spokestall.io.http;

import io.undertow.util.HeaderMap;

/** The result of one HTTP exchange with an upstream, the platform or a node. */
public sealed interface HttpResult {
    /** A complete, unambiguously framed response arrived. */
    record Complete(int status, HeaderMap headers, byte[] body) implements HttpResult {
        /** Returns the first value of a header, null if there is none. */
        public String header(final String name) {
            return headers.getFirst(name);
        }
    }

    /** No byte of the request was sent. */
    record NotSent(String reason) implements HttpResult {}

    /** Bytes of the request may have been sent, and no complete response arrived. */
    record Lost(String reason) implements HttpResult {}
}
