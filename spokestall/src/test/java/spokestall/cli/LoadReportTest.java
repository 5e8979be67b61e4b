package spokestall.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

    private boolean print(final LoadReport report, final double leastRanRatio) {
        return report.print(new PrintStream(printed, true, StandardCharsets.UTF_8), leastRanRatio);
    }

    private String text() {
        return printed.toString(StandardCharsets.UTF_8);
    }

    @Test
    void countsAreSortedByNameAndDurationsByLength() {
        final LoadReport report = new LoadReport(4);
        report.onFinished("ran", "10.0.0.2:7200", 30);
        report.onFinished("ran", "10.0.0.1:7200", 10);
        report.onFinished("nowhere", null, 20);
        report.onRetry();
        report.onFinished("ran", "10.0.0.1:7200", 40);
        assertThat(print(report, 0.75)).isTrue();
        assertThat(text())
                .isEqualTo(String.join(
                        "\n",
                        "asks=4 ended=4 again=1",
                        "  nowhere=1",
                        "  ran=3",
                        "  edge 10.0.0.1:7200=2",
                        "  edge 10.0.0.2:7200=1",
                        "spentMs p50=30 p99=40",
                        "verdict=good ranShare=0.7500 least=0.7500",
                        ""));
    }

    @Test
    void unfinishedRequestsCountAsNotRun() {
        final LoadReport report = new LoadReport(2);
        report.onFinished("ran", "10.0.0.1:7200", 10);
        assertThat(print(report, 0.51)).isFalse();
        assertThat(text()).contains("asks=2 ended=1").endsWith("verdict=bad ranShare=0.5000 least=0.5100\n");
    }

    @Test
    void oneWrongAnswerMakesTheVerdictBad() {
        final LoadReport report = new LoadReport(2);
        report.onFinished("ran", "10.0.0.1:7200", 10);
        report.onFinished("wrong-answer", "10.0.0.1:7200", 10);
        assertThat(print(report, 0)).isFalse();
        assertThat(text()).endsWith("verdict=bad ranShare=0.5000 least=0.0000\n");
    }

    @Test
    void aRunWithoutFinishedRequestsPrintsNoDurations() {
        assertThat(print(new LoadReport(1), 0.5)).isFalse();
        assertThat(text()).isEqualTo("asks=1 ended=0 again=0\nverdict=bad ranShare=0.0000 least=0.5000\n");
    }
}
