package spokestall.io.protocol;

import java.util.ArrayList;
import java.util.List;
import spokestall.io.http.HeaderFields;
import spokestall.io.http.HttpResult;
import spokestall.message.Header;
import spokestall.message.ResponseContent;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptResult;

/** spokestall's own protocol for upstreams, specified in docs/protocols.md. */
final class NativeUpstreamProtocol implements UpstreamProtocol {
    @Override
    public List<Header> headers(final Attempt attempt) {
        final List<Header> headers = new ArrayList<>(attempt.headers());
        headers.add(new Header("Spokestall-Ask-Id", attempt.requestId()));
        if (attempt.tenant() != null) {
            headers.add(new Header("Spokestall-Tenant", attempt.tenant()));
        }
        headers.add(new Header("Spokestall-Service", attempt.service()));
        headers.add(new Header("Spokestall-Instance", attempt.instance()));
        headers.add(new Header("Spokestall-Deadline-Ms", Long.toString(attempt.timeoutMillis())));
        return headers;
    }

    /**
     * Accepts a response only if its headers name the attempt's request id and instance. Another instance at the address can reject
     * the attempt with status 421 and outcome {@code not-run}.
     */
    @Override
    public AttemptResult interpret(final Attempt attempt, final HttpResult.Complete response) {
        if (!attempt.requestId().equals(response.header("Spokestall-Ask-Id"))) {
            return new AttemptResult.Lost("answer to another ask");
        }
        if (response.status() == 421 && "not-run".equals(response.header("Spokestall-Outcome"))) {
            return new AttemptResult.NotRun("not the instance that was meant");
        }
        if (!attempt.instance().equals(response.header("Spokestall-Instance"))) {
            return new AttemptResult.Lost("answer of another instance");
        }
        if ("not-run".equals(response.header("Spokestall-Outcome"))) {
            return new AttemptResult.NotRun("status " + response.status());
        }
        final List<Header> headers = HeaderFields.endToEnd(response.headers());
        if (attempt.method().equals("HEAD") && response.header("Content-Length") != null) {
            headers.add(new Header("Content-Length", response.header("Content-Length")));
        }
        return new AttemptResult.Answered(new ResponseContent(response.status(), headers, response.body()));
    }
}
