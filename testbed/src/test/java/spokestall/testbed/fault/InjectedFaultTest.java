package spokestall.testbed.fault;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import spokestall.testbed.Deployment;
import spokestall.testbed.simulation.Scenario;
import spokestall.testbed.simulation.ScenarioSweep;
import spokestall.testbed.verdict.Rule;

/** Guards against a judge that misses violations: for each rule, an injected fault must lead to a violation that the judge reports. */
class InjectedFaultTest {
    private record Case(Rule rule, InjectedFault injectedFault, Scenario scenario, long seeds) {}

    private static final List<Case> CASES = List.of(
            new Case(Rule.ONCE, InjectedFault.LYING_DISK, Scenario.RESTART_ALL, 1),
            new Case(Rule.NOT_RUN, InjectedFault.LOST_AS_NOT_SENT, Scenario.BROWNOUT, 8),
            new Case(Rule.OWN_ANSWER, InjectedFault.GARBAGE_PASSED, Scenario.BAD_ANSWERS, 1),
            new Case(Rule.KEY, InjectedFault.OLD_PROOFS, Scenario.CUTS, 8),
            new Case(Rule.POLICY, InjectedFault.OLD_PROOFS, Scenario.CUTS, 1),
            new Case(Rule.LEAVING, InjectedFault.SELDOM_PROBES, Scenario.ROLLING, 8),
            new Case(Rule.HOME, InjectedFault.WRONG_REGIONS, Scenario.CALM, 1),
            new Case(Rule.COLD, InjectedFault.UNDIVIDED, Scenario.COLD_RETURN, 1),
            new Case(Rule.RETRIES, InjectedFault.FREE_RETRIES, Scenario.BROWNOUT, 1),
            new Case(Rule.SAME_COUNTS, InjectedFault.LYING_DISK, Scenario.BLINK, 1),
            new Case(Rule.TOKEN, InjectedFault.NO_LAST_LOOK, Scenario.FREEZE_AT_SEND, 4),
            new Case(Rule.TOKEN, InjectedFault.UNANNOUNCED_CALLS, Scenario.HELD_UP_REPORTS, 8),
            new Case(Rule.IN_TIME, InjectedFault.LATE_REPORTS, Scenario.REGION_KILL, 2),
            // Faults that an earlier version of the judge missed.
            new Case(Rule.IN_TIME, InjectedFault.SWAPPED_TENANTS, Scenario.CALM, 1),
            new Case(Rule.IN_TIME, InjectedFault.DEAF_PLATFORM, Scenario.LOSSY, 1),
            new Case(Rule.OWN_ANSWER, InjectedFault.OTHERS_HEADERS, Scenario.CALM, 1),
            new Case(Rule.HOME, InjectedFault.KEPT_ABROAD, Scenario.CALM, 1),
            new Case(Rule.LEAVING, InjectedFault.SLOW_LEAVING, Scenario.ROLLING, 4));

    @Test
    void eachRuleIsViolatedUnderItsInjectedFault() throws Exception {
        Logger.getLogger("").setLevel(Level.OFF);
        final ExecutorService pool =
                Executors.newFixedThreadPool(Math.max(2, Runtime.getRuntime().availableProcessors() - 1));
        final List<Future<Set<Rule>>> runs = new ArrayList<>();
        final List<Case> caseOfRun = new ArrayList<>();
        for (final Case c : CASES) {
            for (long seed = 1; seed <= c.seeds; seed++) {
                final long s = seed;
                caseOfRun.add(c);
                runs.add(pool.submit(() -> {
                    final Set<Rule> broken = EnumSet.noneOf(Rule.class);
                    ScenarioSweep.runOne(s, Deployment.PADMA, c.scenario, c.injectedFault)
                            .tallies()
                            .forEach((rule, t) -> {
                                if (t.violations > 0) {
                                    broken.add(rule);
                                }
                            });
                    return broken;
                }));
            }
        }
        final Set<Case> found = new HashSet<>();
        for (int i = 0; i < runs.size(); i++) {
            if (runs.get(i).get().contains(caseOfRun.get(i).rule)) {
                found.add(caseOfRun.get(i));
            }
        }
        pool.shutdown();
        assertThat(found).containsExactlyInAnyOrderElementsOf(CASES);
    }
}
