package spokestall.testbed.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class RuleTest {
    @Test
    void docsContainEveryRuleWithItsBounds() throws Exception {
        final String page = Files.readString(Path.of("..", "docs", "never.md"));
        for (final Rule rule : Rule.values()) {
            assertThat(page).contains(rule.row());
        }
    }
}
