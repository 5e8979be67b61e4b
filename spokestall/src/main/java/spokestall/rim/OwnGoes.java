package spokestall.rim;

import java.util.ArrayList;
import java.util.List;
import spokestall.edge.Go;
import spokestall.edge.GoResult;
import spokestall.wire.Content;
import spokestall.wire.Header;

/** spokestall's own speech with upstreams; docs/protocols.md has it. */
final class OwnGoes implements GoSpeech {
    @Override
    public List<Header> headers(final Go go) {
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
    public GoResult judge(final Go go, final HttpResult.Whole whole) {
        if (!go.askId().equals(whole.header("Spokestall-Ask-Id"))) {
            return new GoResult.Lost("answer to another ask");
        }
        if (whole.status() == 421 && "not-run".equals(whole.header("Spokestall-Outcome"))) {
            return new GoResult.NotRun("not the instance that was meant");
        }
        if (!go.instance().equals(whole.header("Spokestall-Instance"))) {
            return new GoResult.Lost("answer of another instance");
        }
        if ("not-run".equals(whole.header("Spokestall-Outcome"))) {
            return new GoResult.NotRun("status " + whole.status());
        }
        final List<Header> headers = Fields.endToEnd(whole.headers());
        if (go.method().equals("HEAD") && whole.header("Content-Length") != null) {
            headers.add(new Header("Content-Length", whole.header("Content-Length")));
        }
        return new GoResult.Whole(new Content(whole.status(), headers, whole.body()));
    }
}
