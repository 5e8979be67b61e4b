package spokestall.io.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import spokestall.message.Header;

/** Rules for header fields: which ones a proxy forwards, and which ones make a message invalid or ambiguously framed. */
public final class HeaderFields {
    /** Fields that apply to one connection only, or that are set anew for each connection. */
    private static final Set<HttpString> HOP_BY_HOP = Set.of(
            Headers.CONNECTION,
            new HttpString("Keep-Alive"),
            new HttpString("Proxy-Connection"),
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION,
            new HttpString("Proxy-Authentication-Info"),
            Headers.TE,
            Headers.TRAILER,
            Headers.TRANSFER_ENCODING,
            Headers.UPGRADE,
            Headers.EXPECT,
            Headers.HOST,
            Headers.CONTENT_LENGTH);

    private static final String OWN_PREFIX = "spokestall-";
    private static final String NAME_DELIMITERS = "\"(),/:;<=>?@[\\]{}";
    private static final int MAX_LENGTH_DIGITS = 18;

    private HeaderFields() {}

    /**
     * Returns the end-to-end fields: all except hop-by-hop fields, fields that the Connection header names, and spokestall's own
     * fields.
     */
    public static List<Header> endToEnd(final HeaderMap from) {
        final Set<HttpString> connectionNamed = new HashSet<>();
        final HeaderValues connection = from.get(Headers.CONNECTION);
        if (connection != null) {
            for (final String line : connection) {
                for (final String name : line.split(",")) {
                    connectionNamed.add(new HttpString(name.trim()));
                }
            }
        }
        final List<Header> endToEnd = new ArrayList<>();
        for (final HeaderValues values : from) {
            final HttpString field = values.getHeaderName();
            final String name = field.toString();
            if (!HOP_BY_HOP.contains(field) && !connectionNamed.contains(field) && !isOwn(name)) {
                for (final String value : values) {
                    endToEnd.add(new Header(name, value));
                }
            }
        }
        return endToEnd;
    }

    private static boolean isOwn(final String name) {
        return name.regionMatches(true, 0, OWN_PREFIX, 0, OWN_PREFIX.length());
    }

    public static void addAll(final HeaderMap into, final List<Header> headers) {
        headers.forEach(h -> into.add(new HttpString(h.name()), h.value()));
    }

    /**
     * Returns why the fields of a message are invalid, or null if they are valid. Invalid are names and values with characters that
     * parsers may interpret differently, a repeated or malformed Content-Length, a Content-Length together with a Transfer-Encoding,
     * and any Transfer-Encoding other than {@code chunked} alone.
     */
    public static String invalidReason(final HeaderMap headers) {
        for (final HeaderValues values : headers) {
            final String name = values.getHeaderName().toString();
            for (int i = 0; i < name.length(); i++) {
                if (name.charAt(i) <= ' ' || name.charAt(i) >= 0x7f || NAME_DELIMITERS.indexOf(name.charAt(i)) >= 0) {
                    return "header name";
                }
            }
            for (final String value : values) {
                if (!isFieldValue(value)) {
                    return "header value";
                }
            }
        }
        final HeaderValues length = headers.get(Headers.CONTENT_LENGTH);
        final HeaderValues coding = headers.get(Headers.TRANSFER_ENCODING);
        if (length != null && (length.size() != 1 || coding != null || !isLength(length.getFirst()))) {
            return "Content-Length";
        }
        if (coding != null && (coding.size() != 1 || !coding.getFirst().equalsIgnoreCase("chunked"))) {
            return "Transfer-Encoding";
        }
        return null;
    }

    private static boolean isFieldValue(final String value) {
        for (int i = 0; i < value.length(); i++) {
            final char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }

    private static boolean isLength(final String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS;
    }

    /** Returns the total size of the fields in characters, with separators. */
    static int size(final HeaderMap headers) {
        int size = 0;
        for (final HeaderValues values : headers) {
            for (final String value : values) {
                size += values.getHeaderName().length() + value.length() + 4;
            }
        }
        return size;
    }
}
