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
    void windowIsNotSentBeforeItIsSealed() {
        assertThatThrownBy(() -> report.transition(WindowReport.State.SENDING)).isInstanceOf(AssertionError.class);
        report.transition(WindowReport.State.SEALING);
        assertThatThrownBy(() -> report.transition(WindowReport.State.SENDING)).isInstanceOf(AssertionError.class);
        report.onSealed(sealed(false));
        report.transition(WindowReport.State.SENDING);
        assertThat(report.state()).isEqualTo(WindowReport.State.SENDING);
    }

    @Test
    void windowAlreadyReportedInTheRegisterIsDone() {
        report.transition(WindowReport.State.SEALING);
        report.onSealed(sealed(true));
        assertThat(report.state()).isEqualTo(WindowReport.State.DONE);
        assertThatThrownBy(() -> report.transition(WindowReport.State.CLOSING)).isInstanceOf(AssertionError.class);
    }

    @Test
    void windowWithUnknownSealingOutcomeMayBeSealedAgain() {
        report.transition(WindowReport.State.SEALING);
        report.transition(WindowReport.State.CLOSING);
        report.transition(WindowReport.State.SEALING);
        assertThat(report.sealed()).isNull();
    }
}
