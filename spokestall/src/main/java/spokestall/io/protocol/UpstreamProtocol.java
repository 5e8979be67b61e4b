package spokestall.io.protocol;

import java.util.List;
import spokestall.io.http.HttpResult;
import spokestall.message.Header;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptResult;

/** How upstreams are spoken to: names and forms, nothing that decides. */
public interface UpstreamProtocol {
    /** All headers of a go, but for its host's and its framing. */
    List<Header> headers(Attempt attempt);

    /** What an upstream's whole answer means. */
    AttemptResult interpret(Attempt attempt, HttpResult.Complete response);
}
