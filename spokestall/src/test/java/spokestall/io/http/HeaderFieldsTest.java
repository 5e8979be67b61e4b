package spokestall.io.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import org.junit.jupiter.api.Test;
import spokestall.message.Header;

class HeaderFieldsTest {
    private static HeaderMap fields(final String... namesAndValues) {
        final HeaderMap map = new HeaderMap();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.add(new HttpString(namesAndValues[i]), namesAndValues[i + 1]);
        }
        return map;
    }

    @Test
    void forwardsOnlyEndToEndFieldsIgnoringCase() {
        final HeaderMap map = fields(
                "connection",
                "close, X-Hop",
                "x-hop",
                "1",
                "KEEP-ALIVE",
                "timeout=5",
                "hOst",
                "a",
                "content-length",
                "3",
                "Transfer-encoding",
                "chunked",
                "SPOKESTALL-Anything",
                "x",
                "proxy-authentication-info",
                "y",
                "Accept",
                "text/plain",
                "accept",
                "text/html",
                "X-Own",
                "z");
        assertThat(HeaderFields.endToEnd(map))
                .containsExactlyInAnyOrder(
                        new Header("Accept", "text/plain"),
                        new Header("Accept", "text/html"),
                        new Header("X-Own", "z"));
    }

    @Test
    void rejectsInvalidAndAmbiguousFields() {
        assertThat(HeaderFields.invalidReason(fields("A", "b\tc", "Content-Length", "12")))
                .isNull();
        assertThat(HeaderFields.invalidReason(fields("A", "b\u0001"))).isNotNull();
        assertThat(HeaderFields.invalidReason(fields("A", "b\u007f"))).isNotNull();
        assertThat(HeaderFields.invalidReason(fields("A b", "c"))).isNotNull();
        assertThat(HeaderFields.invalidReason(fields("Content-Length", ""))).isNotNull();
        assertThat(HeaderFields.invalidReason(fields("Content-Length", "1x"))).isNotNull();
        assertThat(HeaderFields.invalidReason(fields("Content-Length", "1234567890123456789")))
                .isNotNull();
        assertThat(HeaderFields.invalidReason(fields("Content-Length", "1", "Content-Length", "1")))
                .isNotNull();
        assertThat(HeaderFields.invalidReason(fields("Transfer-Encoding", "gzip")))
                .isNotNull();
    }
}
