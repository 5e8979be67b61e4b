package spokestall.io.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.nio.charset.StandardCharsets;
import spokestall.configuration.ConfigurationStore;
import spokestall.io.http.HeaderFields;
import spokestall.proxy.RequestHead;
import spokestall.proxy.Response;

/** spokestall's own speech with clients; docs/protocols.md has it. */
final class NativeClientProtocol implements ClientProtocol {
    @Override
    public RequestHead head(
            final String method,
            final String host,
            final String target,
            final HeaderMap headers,
            final long bodyBytes) {
        return new RequestHead(
                method,
                host,
                target,
                headers.getFirst("Spokestall-Key"),
                headers.getFirst("Spokestall-Ask-Id"),
                span(headers),
                bodyBytes,
                HeaderFields.endToEnd(headers));
    }

    private static long span(final HeaderMap headers) {
        try {
            return Long.parseLong(headers.getFirst("Spokestall-Deadline-Ms"));
        } catch (final NumberFormatException e) {
            return Long.MIN_VALUE;
        }
    }

    @Override
    public int status(final Response a) {
        return a.content() != null ? a.content().status() : a.result().httpStatus();
    }

    @Override
    public void headers(final Response a, final HeaderMap headers) {
        headers.put(new HttpString("Spokestall-Code"), a.result().number());
        headers.put(new HttpString("Spokestall-Outcome"), a.executionStatus().wireName());
        headers.put(new HttpString("Spokestall-Goes"), a.attempts());
        if (a.instance() != null) {
            headers.put(new HttpString("Spokestall-Instance"), a.instance());
        }
        if (a.retryAfterMs() > 0) {
            headers.put(Headers.RETRY_AFTER, (a.retryAfterMs() + 999) / 1000);
        }
        if (a.content() == null) {
            headers.put(Headers.CONTENT_TYPE, "application/json");
        }
    }

    @Override
    public byte[] body(final Response a) {
        final ObjectNode out = ConfigurationStore.JSON
                .createObjectNode()
                .put("code", a.result().number())
                .put("text", a.result().text())
                .put("outcome", a.executionStatus().wireName());
        return out.toString().getBytes(StandardCharsets.UTF_8);
    }
}
