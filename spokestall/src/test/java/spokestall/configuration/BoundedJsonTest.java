package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class BoundedJsonTest {
    private static byte[] nested(final int depth) {
        return ("{\"a\":".repeat(depth) + "1" + "}".repeat(depth)).getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void aDocumentNestedTooDeeplyIsRejectedBeforeItIsWorkedOn() throws Exception {
        assertThat(ConfigurationStore.JSON
                        .readTree(nested(BoundedJson.MAX_DEPTH))
                        .has("a"))
                .isTrue();
        assertThatThrownBy(() -> ConfigurationStore.JSON.readTree(nested(BoundedJson.MAX_DEPTH + 1)))
                .isInstanceOf(JsonProcessingException.class);
    }

    @Test
    void bytesBehindADocumentAreNotDropped() throws Exception {
        assertThat(ConfigurationStore.JSON.readTree("{} \n".getBytes(StandardCharsets.UTF_8)))
                .isEmpty();
        for (final String trailing : List.of("}", " trailing", "{\"version\":99", "\0\0")) {
            assertThatThrownBy(
                            () -> ConfigurationStore.JSON.readTree(("{}" + trailing).getBytes(StandardCharsets.UTF_8)))
                    .as(trailing)
                    .isInstanceOf(JsonProcessingException.class);
        }
    }
}
