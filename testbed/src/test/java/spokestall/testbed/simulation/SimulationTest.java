package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.verdict.Rule;
import spokestall.testsupport.KnownFailures;

/** Runs every scenario with a few fixed seeds. {@code bin/testbed sim} runs many seeds. */
class SimulationTest {
    @BeforeAll
    static void quiet() {
        Logger.getLogger("").setLevel(Level.OFF);
    }

    @Test
    void everyScenarioKeepsAllRulesAndRecovers() throws Exception {
        final ExecutorService pool =
                Executors.newFixedThreadPool(Math.max(2, Runtime.getRuntime().availableProcessors() - 1));
        final List<Future<ScenarioSweep.Outcome>> runs = new ArrayList<>();
        for (final Scenario scenario : Scenario.sweep()) {
            for (final Deployment deployment : Deployment.values()) {
                runs.add(pool.submit(() ->
                        ScenarioSweep.runOne(4 + scenario.ordinal() % 3, deployment, scenario, InjectedFault.NONE)));
            }
        }
        // Seeds that broke a rule in earlier versions.
        runs.add(pool.submit(() -> ScenarioSweep.runOne(305, Deployment.VERDE, Scenario.CUTS, InjectedFault.NONE)));
        runs.add(
                pool.submit(() -> ScenarioSweep.runOne(26, Deployment.PADMA, Scenario.DISKS_LOST, InjectedFault.NONE)));
        runs.add(pool.submit(
                () -> ScenarioSweep.runOne(5, Deployment.VERDE, Scenario.RESTART_IN_TURN, InjectedFault.NONE)));
        runs.add(pool.submit(
                () -> ScenarioSweep.runOne(26, Deployment.PADMA, Scenario.REGION_KILL, InjectedFault.NONE)));
        runs.add(pool.submit(
                () -> ScenarioSweep.runOne(201, Deployment.VERDE, Scenario.RESTART_IN_TURN, InjectedFault.NONE)));
        runs.add(pool.submit(
                () -> ScenarioSweep.runOne(5, Deployment.PADMA, Scenario.FREEZE_AT_SEND, InjectedFault.NONE)));
        final Map<Rule, Long> checks = new EnumMap<>(Rule.class);
        final List<String> bad = new ArrayList<>();
        for (final Future<ScenarioSweep.Outcome> run : runs) {
            final ScenarioSweep.Outcome o = run.get();
            final String again = ScenarioSweep.command(o.scenario(), o.deployment(), o.seed());
            if (ScenarioSweep.recoveryFailure(o) != null) {
                bad.add("not back, " + ScenarioSweep.recoveryFailure(o) + ": " + again);
            }
            o.tallies().forEach((rule, t) -> {
                checks.merge(rule, t.checks, Long::sum);
                if (t.violations > 0) {
                    bad.add(rule + " " + t.firstViolation + ": " + again);
                }
            });
        }
        pool.shutdown();
        final List<KnownFailures.Entry> known = KnownFailures.listed().of("SimulationTest");
        final List<KnownFailures.Entry> redStill = known.stream()
                .filter(k -> bad.stream().anyMatch(b -> matchesEntry(b, k)))
                .toList();
        redStill.forEach(k -> System.out.println(k.notice()));
        assertThat(redStill)
                .as("failures that are fixed are removed from KNOWN-RED.txt")
                .isEqualTo(known);
        bad.removeIf(b -> known.stream().anyMatch(k -> matchesEntry(b, k)));
        assertThat(bad).isEmpty();
        assertThat(checks)
                .as("every rule was checked")
                .allSatisfy((rule, n) -> assertThat(n).isPositive());
    }

    /** Returns whether a broken check is the one that an entry names by its rule, scenario, deployment and seed. */
    private static boolean matchesEntry(final String bad, final KnownFailures.Entry known) {
        final String[] words = known.subject().split(" ");
        return bad.startsWith(words[0] + " ")
                && bad.endsWith("--scenario " + words[1] + " --deployment " + words[2] + " --seeds " + words[3] + "-"
                        + words[3]);
    }

    @Test
    void aSeedReproducesARunByteForByte() {
        final String[] traces = new String[2];
        final long[] digests = new long[2];
        for (int i = 0; i < 2; i++) {
            final SimulationRun run = new SimulationRun(11, Deployment.VERDE, Scenario.MIXED, true, InjectedFault.NONE);
            assertThat(run.play()).isTrue();
            traces[i] = run.world.sim.traceText();
            digests[i] = run.world.sim.digest();
        }
        assertThat(traces[0]).isNotEmpty().isEqualTo(traces[1]);
        assertThat(digests[0]).isEqualTo(digests[1]);
    }
}
