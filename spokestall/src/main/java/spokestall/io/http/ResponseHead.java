package spokestall.io.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.util.regex.Pattern;

/** Whether the head of a response can be read in one way only, and is one response's. */
final class ResponseHead {
    private static final int MAX_SIZE = 16 << 10;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** The first line of a response, which stands within another's head where a part of that one came just before. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHead() {}

    /** What is odd about it, or null. */
    static String invalidReason(final ClientResponse response, final String method) {
        final HttpString protocol = response.getProtocol();
        if (!protocol.equals(Protocols.HTTP_1_1) && !protocol.equals(Protocols.HTTP_1_0)) {
            return "protocol";
        }
        if (containsStatusLine(response)) {
            return "two responses in one";
        }
        final String field = HeaderFields.invalidReason(response.getResponseHeaders());
        if (field != null) {
            return field;
        }
        if (HeaderFields.size(response.getResponseHeaders()) > MAX_SIZE) {
            return "size";
        }
        return isFramed(response, method) ? null : "status " + response.getResponseCode();
    }

    private static boolean containsStatusLine(final ClientResponse response) {
        if (STATUS_LINE.matcher(response.getStatus()).find()) {
            return true;
        }
        for (final HeaderValues values : response.getResponseHeaders()) {
            for (final String value : values) {
                if (STATUS_LINE.matcher(value).find()) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Whether status and length fit, so that it is known where the response ends. */
    private static boolean isFramed(final ClientResponse response, final String method) {
        final int status = response.getResponseCode();
        if (status < MIN_FINAL_STATUS || status > MAX_STATUS) {
            return false;
        }
        final boolean length = response.getResponseHeaders().contains(Headers.CONTENT_LENGTH)
                || response.getResponseHeaders().contains(Headers.TRANSFER_ENCODING);
        if (status == NO_CONTENT) {
            return !length;
        }
        return length || status == NOT_MODIFIED || method.equals("HEAD");
    }
}
