package spokestall.io.protocol;

import io.undertow.util.HeaderMap;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;

/** How callers' asks are read and answered: names and forms, nothing that decides. */
public interface ClientProtocol {
    /** What the head says. The span is {@code Long.MIN_VALUE} where it can't be read; bodyBytes is -1 where it is not
     * known. Example: {@code edge.open(speech.head("GET", "a.example", "/pay", headers, 0), done)} */
    RequestHead head(String method, String host, String target, HeaderMap headers, long bodyBytes);

    /** The answer's status. Example: {@code exchange.setStatusCode(speech.status(answer));} */
    int status(Response answer);

    /** Writes the answer's headers. Example: {@code speech.headers(answer, exchange.getResponseHeaders());} */
    void headers(Response answer, HeaderMap into);

    /** Its body, where spokestall itself answers. Example: {@code speech.body(answer)} */
    byte[] body(Response answer);
}
