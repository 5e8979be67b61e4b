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

/** spokestall's own protocol for clients, specified in docs/protocols.md. */
final class NativeClientProtocol implements ClientProtocol {
    @Override
    public RequestHead readHead(
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
                remainingMs(headers),
                bodyBytes,
                HeaderFields.endToEnd(headers));
    }

    private static long remainingMs(final HeaderMap headers) {
        try {
            return Long.parseLong(headers.getFirst("Spokestall-Deadline-Ms"));
        } catch (final NumberFormatException e) {
            return Long.MIN_VALUE;
        }
    }

    @Override
    public int status(final Response response) {
        return response.content() != null
                ? response.content().status()
                : response.result().httpStatus();
    }

    @Override
    public void writeHeaders(final Response response, final HeaderMap headers) {
        headers.put(new HttpString("Spokestall-Code"), response.result().number());
        headers.put(
                new HttpString("Spokestall-Outcome"), response.executionStatus().wireName());
        headers.put(new HttpString("Spokestall-Goes"), response.attempts());
        if (response.instance() != null) {
            headers.put(new HttpString("Spokestall-Instance"), response.instance());
        }
        if (response.retryAfterMs() > 0) {
            headers.put(Headers.RETRY_AFTER, (response.retryAfterMs() + 999) / 1000);
        }
        if (response.content() == null) {
            headers.put(Headers.CONTENT_TYPE, "application/json");
        }
    }

    @Override
    public byte[] errorBody(final Response response) {
        final ObjectNode body = ConfigurationStore.JSON
                .createObjectNode()
                .put("code", response.result().number())
                .put("text", response.result().text())
                .put("outcome", response.executionStatus().wireName());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
