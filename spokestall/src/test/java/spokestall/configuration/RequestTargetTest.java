package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RequestTargetTest {
    /** A program that decodes and normalises a valid target must read the same path as one that does neither. */
    @Test
    void validTargetHasOneInterpretation() {
        final Random random = new Random(7);
        final String[] parts = {
            "/", "a", "payout", ".", "..", "%2e", "%2F", "%5c", "%20", "%70", "%", "%0", "?", "#", ";", "\\", "%0d%0a",
            "é", " ", "%25", "%c3%a9", "//", "~"
        };
        int validCount = 0;
        for (int i = 0; i < 200_000; i++) {
            final StringBuilder raw = new StringBuilder(random.nextInt(20) == 0 ? "" : "/");
            for (int n = random.nextInt(6); n > 0; n--) {
                raw.append(parts[random.nextInt(parts.length)]);
            }
            if (RequestTarget.of(raw.toString()) instanceof RequestTarget.Valid target) {
                validCount++;
                assertThat(target.raw()).isEqualTo(raw.toString());
                final URI read = URI.create("http://h" + raw);
                assertThat(read.getRawPath()).isEqualTo(target.path());
                assertThat(read.normalize().getRawPath()).isEqualTo(target.path());
                final String decoded = read.getPath();
                assertThat(decoded.split("/", -1)).hasSameSizeAs(target.path().split("/", -1));
                assertThat(decoded).doesNotContain("\\", ";", "\r", "\n", "/./", "/../", "//");
            }
        }
        assertThat(validCount).isGreaterThan(5000);
    }
}
