package spokestall.testbed.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short soak run with real processes; longer ones and more seeds are played by hand: {@code bin/testbed soak --seeds 50}. */
class SoakTest {
    private static final long SEED = 1;
    private static final int SECONDS = 25;

    @Test
    void noRuleIsBrokenWhileSignalsRestartsAndChangesOverlap(@TempDir final Path folder) throws Exception {
        assertThat(SoakRun.play(SoakFlags.of(SEED, SECONDS, folder))).isEmpty();
    }
}
