package spokestall.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

class WindowReportTest {
    private final WindowReport report = new WindowReport(7);

    private static SealedWindow sealed(final boolean completed) {
        return new SealedWindow(7, Map.of("t", 1L), "k/1", 5, completed);
    }

    @Test
    void nothingIsSentBeforeItIsSealed() {
        assertThatThrownBy(() -> report.transition(WindowReport.Stage.SENDING)).isInstanceOf(AssertionError.class);
        report.transition(WindowReport.Stage.SEALING);
        assertThatThrownBy(() -> report.transition(WindowReport.Stage.SENDING)).isInstanceOf(AssertionError.class);
        report.onSealed(sealed(false));
        report.transition(WindowReport.Stage.SENDING);
        assertThat(report.stage()).isEqualTo(WindowReport.Stage.SENDING);
    }

    @Test
    void aWindowThatTheRegisterShowsAsReportedIsDone() {
        report.transition(WindowReport.Stage.SEALING);
        report.onSealed(sealed(true));
        assertThat(report.stage()).isEqualTo(WindowReport.Stage.DONE);
        assertThatThrownBy(() -> report.transition(WindowReport.Stage.CLOSING)).isInstanceOf(AssertionError.class);
    }

    @Test
    void aWindowWhoseSealingIsUnknownIsClosedAndSealedAnew() {
        report.transition(WindowReport.Stage.SEALING);
        report.transition(WindowReport.Stage.CLOSING);
        report.transition(WindowReport.Stage.SEALING);
        assertThat(report.sealed()).isNull();
    }
}
