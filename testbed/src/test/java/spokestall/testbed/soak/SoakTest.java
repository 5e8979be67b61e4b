package spokestall.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short soak run with real processes. Run longer ones and more seeds by hand: {@code bin/testbed soak --seeds 50}. */
class SoakTest {
    private static final long SEED = 1;
    private static final int SECONDS = 25;
    private static final String RECOVERY = SoakVerdict.SoakRule.RECOVERY + " ";
    private static List<String> broken;

    @BeforeAll
    static void play(@TempDir final Path folder) throws Exception {
        broken = SoakRun.play(SoakFlags.of(SEED, SECONDS, folder));
    }

    @Test
    void noRuleIsBrokenWhileSignalsRestartsAndChangesOverlap() {
        assertThat(broken).noneMatch(line -> !line.startsWith(RECOVERY));
    }

    @Test
    void requestsAreServedAgainOnceEveryNodeIsFresh() {
        assertThat(broken).noneMatch(line -> line.startsWith(RECOVERY));
    }
}
