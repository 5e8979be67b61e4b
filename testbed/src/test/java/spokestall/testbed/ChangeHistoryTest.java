package spokestall.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** During hundreds of changes and repeated core failures, the size of a core's state and the time of its recovery stay bounded. */
class ChangeHistoryTest {
    private static final long CATCH_UP_MS = 4000;

    @BeforeAll
    static void quiet() {
        Logger.getLogger("").setLevel(Level.OFF);
    }

    @Test
    void manyLargeChangesKeepTheLogBoundedAndCoresRecoverInTime() {
        final ChangeHistory history = new ChangeHistory(1, List.of(10, 60, 200), 4, 9000);
        assertThat(history.play()).as("all changes were acknowledged").isTrue();
        assertThat(history.lostVersions()).isEmpty();
        assertThat(history.measurements()).hasSize(3).allSatisfy(row -> {
            assertThat(row.logFill()).isLessThan(0.7);
            assertThat(row.configurationStoreBytes()).isLessThan(3 << 20);
        });
        assertThat(history.recoveries())
                .allSatisfy(back -> assertThat(back.tookMs()).as("%s", back).isLessThan(CATCH_UP_MS));
    }

    @Test
    void largeChangesAloneKeepTheLogBounded() {
        final ChangeHistory history = new ChangeHistory(3, List.of(20, 60), 1, 9000);
        assertThat(history.play()).as("all changes were acknowledged").isTrue();
        assertThat(history.lostVersions()).isEmpty();
        assertThat(history.measurements())
                .allSatisfy(row -> assertThat(row.logFill()).isLessThan(0.7));
        assertThat(history.recoveries())
                .allSatisfy(back -> assertThat(back.tookMs()).as("%s", back).isLessThan(CATCH_UP_MS));
    }

    @Test
    void coresRecoverInTimeAfterManySmallChanges() {
        final ChangeHistory history = new ChangeHistory(2, List.of(100, 700), 50, 200);
        assertThat(history.play()).as("all changes were acknowledged").isTrue();
        assertThat(history.lostVersions()).isEmpty();
        assertThat(history.recoveries())
                .allSatisfy(back -> assertThat(back.tookMs()).as("%s", back).isLessThan(CATCH_UP_MS));
    }
}
