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

/** Header fields between wires: which ones go on, and whether they frame a message in one way only. */
public final class HeaderFields {
    /** Fields that speak of one wire, or that each wire is given anew. */
    private static final Set<HttpString> OF_THE_WIRE = Set.of(
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

    private static final String OWN = "spokestall-";
    private static final String NOT_IN_NAMES = "\"(),/:;<=>?@[\\]{}";
    private static final int LENGTH_DIGITS = 18;

    private HeaderFields() {}

    /** The end-to-end fields: none of the wire's, none that Connection names, none of spokestall's own. */
    public static List<Header> endToEnd(final HeaderMap from) {
        final Set<HttpString> named = new HashSet<>();
        final HeaderValues connection = from.get(Headers.CONNECTION);
        if (connection != null) {
            for (final String line : connection) {
                for (final String one : line.split(",")) {
                    named.add(new HttpString(one.trim()));
                }
            }
        }
        final List<Header> found = new ArrayList<>();
        for (final HeaderValues values : from) {
            final HttpString field = values.getHeaderName();
            final String name = field.toString();
            if (!OF_THE_WIRE.contains(field) && !named.contains(field) && !own(name)) {
                for (final String value : values) {
                    found.add(new Header(name, value));
                }
            }
        }
        return found;
    }

    private static boolean own(final String name) {
        return name.regionMatches(true, 0, OWN, 0, OWN.length());
    }

    public static void put(final HeaderMap into, final List<Header> headers) {
        headers.forEach(h -> into.add(new HttpString(h.name()), h.value()));
    }

    /** What is odd about the fields of a message, or null: names and values that could be read as something else, a
     * length given twice or beside chunks, any coding but chunks alone. */
    public static String odd(final HeaderMap headers) {
        for (final HeaderValues values : headers) {
            final String name = values.getHeaderName().toString();
            for (int i = 0; i < name.length(); i++) {
                if (name.charAt(i) <= ' ' || name.charAt(i) >= 0x7f || NOT_IN_NAMES.indexOf(name.charAt(i)) >= 0) {
                    return "a field's name";
                }
            }
            for (final String value : values) {
                if (!plain(value)) {
                    return "a field's value";
                }
            }
        }
        final HeaderValues length = headers.get(Headers.CONTENT_LENGTH);
        final HeaderValues coding = headers.get(Headers.TRANSFER_ENCODING);
        if (length != null && (length.size() != 1 || coding != null || !digits(length.getFirst()))) {
            return "Content-Length";
        }
        if (coding != null && (coding.size() != 1 || !coding.getFirst().equalsIgnoreCase("chunked"))) {
            return "Transfer-Encoding";
        }
        return null;
    }

    private static boolean plain(final String value) {
        for (int i = 0; i < value.length(); i++) {
            final char c = value.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }

    private static boolean digits(final String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= LENGTH_DIGITS;
    }

    /** How many characters the fields have together. */
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
