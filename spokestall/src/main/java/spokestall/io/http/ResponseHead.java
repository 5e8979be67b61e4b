package spokestall.io.http;

import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.util.regex.Pattern;

/** Validates the head of a response: it must be unambiguous, of limited size, and not be made of parts of two responses. */
final class ResponseHead {
    private static final int MAX_SIZE = 16 << 10;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_STATUS = 599;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** The status line of a response. Inside a head it shows that part of another response was sent immediately before this one. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private ResponseHead() {}

    /** Returns why the head is invalid, or null if it is valid. */
    static String invalidReason(final ClientResponse response, final String method) {
        final HttpString protocol = response.getProtocol();
        if (!protocol.equals(Protocols.HTTP_1_1) && !protocol.equals(Protocols.HTTP_1_0)) {
            return "protocol";
        }
        if (containsStatusLine(response)) {
            return "status line inside the head";
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

    /** Returns whether status and length headers agree, so that the end of the response is known. */
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
