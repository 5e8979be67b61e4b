package spokestall.io.protocol;

import java.util.List;
import spokestall.io.http.HttpResult;
import spokestall.message.Header;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptResult;

/** The HTTP format of attempts and of upstreams' responses to them. Implementations only translate; they make no decisions. */
public interface UpstreamProtocol {
    /** Returns all headers of an attempt except Host and those that frame the body. */
    List<Header> headers(Attempt attempt);

    /** Returns the result that an upstream's complete response stands for. */
    AttemptResult interpret(Attempt attempt, HttpResult.Complete response);
}
