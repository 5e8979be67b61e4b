package spokestall.io.protocol;

import java.util.ArrayList;
import java.util.List;
import spokestall.io.http.HeaderFields;
import spokestall.io.http.HttpResult;
import spokestall.message.Header;
import spokestall.message.ResponseContent;
import spokestall.proxy.Attempt;
import spokestall.proxy.AttemptResult;

/** spokestall's own speech with upstreams; docs/protocols.md has it. */
final class NativeUpstreamProtocol implements UpstreamProtocol {
    @Override
    public List<Header> headers(final Attempt go) {
        final List<Header> headers = new ArrayList<>(go.headers());
        headers.add(new Header("Spokestall-Ask-Id", go.askId()));
        if (go.tenant() != null) {
            headers.add(new Header("Spokestall-Tenant", go.tenant()));
        }
        headers.add(new Header("Spokestall-Service", go.service()));
        headers.add(new Header("Spokestall-Instance", go.instance()));
        headers.add(new Header("Spokestall-Deadline-Ms", Long.toString(go.waitMs())));
        return headers;
    }

    /** An answer counts only if the upstream says it is that instance's answer to that ask. */
    @Override
    public AttemptResult judge(final Attempt go, final HttpResult.Whole whole) {
        if (!go.askId().equals(whole.header("Spokestall-Ask-Id"))) {
            return new AttemptResult.Lost("answer to another ask");
        }
        if (whole.status() == 421 && "not-run".equals(whole.header("Spokestall-Outcome"))) {
            return new AttemptResult.NotRun("not the instance that was meant");
        }
        if (!go.instance().equals(whole.header("Spokestall-Instance"))) {
            return new AttemptResult.Lost("answer of another instance");
        }
        if ("not-run".equals(whole.header("Spokestall-Outcome"))) {
            return new AttemptResult.NotRun("status " + whole.status());
        }
        final List<Header> headers = HeaderFields.endToEnd(whole.headers());
        if (go.method().equals("HEAD") && whole.header("Content-Length") != null) {
            headers.add(new Header("Content-Length", whole.header("Content-Length")));
        }
        return new AttemptResult.Whole(new ResponseContent(whole.status(), headers, whole.body()));
    }
}
