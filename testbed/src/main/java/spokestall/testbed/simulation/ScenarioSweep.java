package spokestall.testbed.simulation;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.verdict.Judge;
import spokestall.testbed.verdict.Rule;

/** Runs scenarios over a range of seeds and prints, for each rule, checks, violations and the worst margin. */
public final class ScenarioSweep {
    /** Result and figures of one run. */
    public record Outcome(
            Scenario scenario,
            Deployment deployment,
            long seed,
            boolean started,
            long digest,
            double scenarioSuccessShare,
            double finalSuccessShare,
            double missingRegisterShare,
            double commitsPerOrder,
            double longestTakeover,
            double propagationShare,
            double edgeImbalance,
            double upstreamImbalance,
            double inDeadlineShare,
            String successByTenantSize,
            long[] recoveryMs,
            long maxRecoveryMs,
            Map<Rule, Judge.Tally> tallies) {}

    /**
     * Returns why the fleet did not recover in time, or null if it did. A recovered fleet serves requests, has sent a usage report,
     * and all its voters vote.
     */
    static String recoveryFailure(final Outcome o) {
        if (!o.started || o.finalSuccessShare < 0.95) {
            return "up=" + o.started + " lastShare=" + o.finalSuccessShare;
        }
        for (final long ms : o.recoveryMs) {
            if (ms < 0 || ms > o.maxRecoveryMs) {
                return "recoverMs=" + Arrays.toString(o.recoveryMs) + " most " + o.maxRecoveryMs;
            }
        }
        return null;
    }

    private static final class Sum {
        private long checks;
        private long broken;
        private double worst = -1;
        private String worstRun = "";
        private String worstWhat = "";
    }

    private ScenarioSweep() {}

    public static Outcome runOne(
            final long seed, final Deployment deployment, final Scenario scenario, final InjectedFault injectedFault) {
        final SimulationRun run = new SimulationRun(seed, deployment, scenario, false, injectedFault);
        final boolean up = run.play();
        return new Outcome(
                scenario,
                deployment,
                seed,
                up,
                run.world.sim.digest(),
                run.scenarioSuccessShare(),
                run.finalSuccessShare(),
                run.missingRegisterShare(),
                run.commitsPerOrder(),
                run.longestTakeover(),
                run.operator.slowestPropagationMs / 4000.0,
                run.edgeImbalance(),
                run.upstreamImbalance(),
                run.inDeadlineShare(),
                run.successByTenantSize(),
                run.recoveryMs(),
                run.maxRecoveryMs(),
                run.world.judge.tallies());
    }

    /**
     * Runs the scenarios and prints the results. Returns the number of failures: each rule that a run broke, each run that did not
     * recover in time, and each run that ended in an exception.
     */
    public static int run(
            final List<Scenario> scenarios,
            final List<Deployment> deployments,
            final long from,
            final long until,
            final int threads,
            final InjectedFault injectedFault)
            throws InterruptedException {
        final ExecutorService pool = Executors.newFixedThreadPool(threads);
        final Map<Rule, Sum> sums = new EnumMap<>(Rule.class);
        for (final Rule rule : Rule.values()) {
            sums.put(rule, new Sum());
        }
        final int[] bad = {0};
        for (final Scenario scenario : scenarios) {
            for (final Deployment deployment : deployments) {
                for (long seed = from; seed <= until; seed++) {
                    final long s = seed;
                    pool.execute(() -> {
                        try {
                            final Outcome o = runOne(s, deployment, scenario, injectedFault);
                            synchronized (sums) {
                                bad[0] += add(o, sums);
                            }
                        } catch (final RuntimeException | AssertionError e) {
                            synchronized (sums) {
                                bad[0]++;
                                System.out.println("FAULT " + command(scenario, deployment, s) + " " + e);
                                e.printStackTrace(System.out);
                            }
                        }
                    });
                }
            }
        }
        pool.shutdown();
        pool.awaitTermination(10, TimeUnit.HOURS);
        sums.forEach((rule, sum) -> System.out.printf(
                "rule=%s verdict=%s checks=%d violations=%d worst=%.2f worstFar=%.2f run=\"%s\"" + " what=\"%s\"%n",
                rule,
                sum.checks == 0 ? "unproven" : sum.broken > 0 ? "broken" : "kept",
                sum.checks,
                sum.broken,
                sum.worst,
                rule.strictBoundMs == 0 ? sum.worst : sum.worst * rule.strictBoundMs / rule.lenientBoundMs,
                sum.worstRun,
                sum.worstWhat));
        return bad[0];
    }

    static String command(final Scenario scenario, final Deployment deployment, final long seed) {
        return "bin/testbed sim --scenario " + scenario + " --deployment " + deployment + " --seeds " + seed + "-"
                + seed;
    }

    private static int add(final Outcome o, final Map<Rule, Sum> sums) {
        final String again = command(o.scenario, o.deployment, o.seed);
        int bad = 0;
        if (recoveryFailure(o) != null) {
            System.out.println("NOT BACK " + again + " " + recoveryFailure(o));
            bad++;
        }
        for (final Map.Entry<Rule, Judge.Tally> e : o.tallies.entrySet()) {
            final Sum sum = sums.get(e.getKey());
            final Judge.Tally t = e.getValue();
            sum.checks += t.checks;
            sum.broken += t.violations;
            if (t.worstShare > sum.worst) {
                sum.worst = t.worstShare;
                sum.worstRun = again;
                sum.worstWhat = t.worstCase;
            }
            if (t.violations > 0) {
                System.out.println(
                        "BROKEN " + e.getKey() + " x" + t.violations + " " + again + " first " + t.firstViolation);
                bad++;
            }
        }
        System.out.printf(
                "run scenario=%s deployment=%s seed=%d digest=%x served=%.3f last=%.3f lacking=%.4f commitsPerOrder=%.1f"
                        + " takeover=%.2f feed=%.3f edges=%.2f upstreams=%.2f inDeadline=%.3f smallLarge=%s recoverMs=%s%n",
                o.scenario,
                o.deployment,
                o.seed,
                o.digest,
                o.scenarioSuccessShare,
                o.finalSuccessShare,
                o.missingRegisterShare,
                o.commitsPerOrder,
                o.longestTakeover,
                o.propagationShare,
                o.edgeImbalance,
                o.upstreamImbalance,
                o.inDeadlineShare,
                o.successByTenantSize,
                Arrays.toString(o.recoveryMs));
        return bad;
    }
}
