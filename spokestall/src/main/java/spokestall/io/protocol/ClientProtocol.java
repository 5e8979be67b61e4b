package spokestall.io.protocol;

import io.undertow.util.HeaderMap;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;

/** How clients' asks are read and answered: names and forms, nothing that decides. */
public interface ClientProtocol {
    /** What the head says. The span is {@code Long.MIN_VALUE} where it can't be read; bodyBytes is -1 where it is not
     * known. */
    RequestHead readHead(String method, String host, String target, HeaderMap headers, long bodyBytes);

    /** The answer's status. */
    int status(Response response);

    /** Writes the answer's headers. */
    void writeHeaders(Response response, HeaderMap into);

    /** Its body, where spokestall itself answers. */
    byte[] errorBody(Response response);
}
