package spokestall.api;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class ResultCodeTest {
    @Test
    void docsTableMatchesTheEnum() throws Exception {
        final String doc = Files.readString(Path.of("..", "docs", "result-codes.md"));
        assertThat(doc.lines().filter(l -> l.matches("\\| \\d+ .*")))
                .containsExactlyElementsOf(Arrays.stream(ResultCode.values())
                        .map(r -> "| " + r.number() + " | " + r + " | " + r.httpStatus() + " | " + r.text() + " |")
                        .toList());
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
    }
}
