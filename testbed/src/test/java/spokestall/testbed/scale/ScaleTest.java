package spokestall.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spokestall.testbed.Main;
import spokestall.testbed.verdict.Rule;

/** The harness at scale, on few nodes for a short while. */
class ScaleTest {
    @BeforeAll
    static void quiet() {
        Logger.getLogger("").setLevel(Level.OFF);
    }

    private static ScaleFlags flags(final int threads, final long seed) {
        final ScaleFlags flags = new ScaleFlags();
        flags.seconds = 8;
        flags.warm = 4;
        flags.threads = threads;
        flags.seed = seed;
        flags.rate = 200;
        flags.check();
        return flags;
    }

    @Test
    void aSeedGivesTheSameRunOnOneThreadAndOnThreeAndNoRuleIsBroken() {
        final long[] digests = new long[3];
        for (int i = 0; i < digests.length; i++) {
            try (ScaleRun run = new ScaleRun(flags(i == 0 ? 1 : 3, i == 2 ? 8 : 7))) {
                run.play();
                assertThat(run.whole()).isTrue();
                assertThat(run.readyMs()).as("came up").isPositive();
                digests[i] = run.digest();
                run.judge
                        .judge
                        .tallies()
                        .forEach((rule, t) -> assertThat(t.violations)
                                .as(rule + " " + t.firstViolation)
                                .isZero());
                assertThat(run.judge.judge.tallies().get(Rule.POLICY).checks).isPositive();
                assertThat(run.judge.judge.tallies().get(Rule.SAME_COUNTS).checks)
                        .isPositive();
                assertThat(run.judge.judge.tallies().get(Rule.KEY).checks).isPositive();
                assertThat(run.judge.judge.tallies().get(Rule.IN_TIME).checks)
                        .as("windows counted as asked")
                        .isPositive();
                assertThat(run.nodes).filteredOn(n -> !n.core).allMatch(n -> !n.counted.isEmpty());
                final List<Figure> figures = ScaleFigures.of(run, 0);
                assertThat(figures)
                        .as("what a core answers to followers")
                        .anyMatch(f -> f.name().equals("CALM.core.bytesOut.FeedResponse.REGIONS") && f.value() > 0);
                assertThat(figures).anyMatch(f -> f.name().equals("CALM.fleet.inForceAllMsMax") && f.value() > 0);
                assertThat(figures).anyMatch(f -> f.name().equals("CALM.edge.proofMsP99") && f.value() < 1000);
            }
        }
        assertThat(digests[0]).isEqualTo(digests[1]).isNotEqualTo(digests[2]);
    }

    @Test
    void aRunThatIsOutOfTimeSaysThatItIsPartial() {
        final ScaleFlags flags = flags(1, 1);
        flags.wall = 0;
        try (ScaleRun run = new ScaleRun(flags)) {
            run.play();
            assertThat(run.whole()).isFalse();
        }
    }

    @Test
    void aWrongFlagIsNamedAndEndsWithTwo() throws Exception {
        assertThat(Main.scale(new String[] {"--nodes", "11"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--nodes", "641"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--nodes", "12", "--cores", "7"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--real", "13"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--nods", "12"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--by", "hope"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--set", "probes"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--set", "prob=0"})).isEqualTo(2);
        assertThat(Main.scale(new String[] {"--set", "proofMs=500", "--set", "freshMs=100"}))
                .isEqualTo(2);
        assertThat(Main.scale(new String[] {"--set", "edges=3"})).isEqualTo(2);
    }

    @Test
    void aSettingThatIsGivenHoldsAtEveryNode() {
        final ScaleFlags flags = flags(2, 1);
        flags.seconds = 4;
        flags.set = List.of("probes=0", "proofMs=500", "freshMs=4000");
        flags.check();
        try (ScaleRun run = new ScaleRun(flags)) {
            run.play();
            assertThat(run.readyMs()).isPositive();
            assertThat(run.nodes).allMatch(n -> n.probes == 0);
            assertThat(ScaleFile.head(run).path("set").asText()).isEqualTo("probes=0 proofMs=500 freshMs=4000");
        }
    }

    @Test
    void aLineIsFoundThroughWhatGrowsByTheSizeAndASquareThroughWhatGrowsByItsSquare() {
        final double[] x = {12, 48, 120};
        assertThat(ScaleFit.best(x, new double[] {34, 106, 250}).at(640))
                .isCloseTo(1290, org.assertj.core.data.Offset.offset(1.0));
        final ScaleFit.Line square = ScaleFit.best(x, new double[] {144, 2304, 14_400});
        assertThat(square.shape()).isEqualTo(ScaleFit.Shape.SQUARE);
        assertThat(square.at(640)).isCloseTo(409_600, org.assertj.core.data.Offset.offset(1.0));
        assertThat(ScaleFit.best(x, new double[] {5, 5, 5}).shape()).isEqualTo(ScaleFit.Shape.CONST);
    }

    @Test
    void figuresAreReadBackAsTheyWereWritten(@TempDir final Path folder) throws Exception {
        final Path file = folder.resolve("one.jsonl");
        ScaleFile.write(
                file,
                new com.fasterxml.jackson.databind.ObjectMapper()
                        .createObjectNode()
                        .put("nodes", 12),
                List.of(new Figure("CALM", "core", "cpu", Figure.ALL, Figure.ALL, 0.5)));
        assertThat(Files.readAllLines(file)).hasSize(2);
        assertThat(ScaleFile.read(file).figures()).containsEntry("CALM.core.cpu", 0.5);
        assertThat(ScaleFile.read(file).run().path("nodes").asInt()).isEqualTo(12);
    }
}
