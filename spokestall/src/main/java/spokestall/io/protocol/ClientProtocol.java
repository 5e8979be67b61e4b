package spokestall.io.protocol;

import io.undertow.util.HeaderMap;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;

/**
 * The HTTP format of requests from clients and of the responses to them: header names, status codes and bodies. Implementations
 * only translate; they make no decisions.
 */
public interface ClientProtocol {
    /**
     * Reads a request's head. {@link RequestHead#remainingMs} is {@code Long.MIN_VALUE} if the deadline header can't be parsed.
     *
     * @param bodyBytes the length of the body, -1 if it isn't known
     */
    RequestHead readHead(String method, String host, String target, HeaderMap headers, long bodyBytes);

    /** Returns the HTTP status of a response. */
    int status(Response response);

    /** Adds the headers that describe the response; the upstream's own headers are added by the caller. */
    void writeHeaders(Response response, HeaderMap into);

    /** Returns the body of a response that spokestall itself generates, because no upstream's response can be forwarded. */
    byte[] errorBody(Response response);
}
