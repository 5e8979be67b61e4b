package spokestall.testbed.verdict;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;
import spokestall.testbed.simulation.ExpectedAvailability;
import spokestall.testbed.simulation.SimulatedWorld;

/** Checks a run of real processes against the rules, from the stand-ins' ledger and the results that clients recorded. */
public final class FleetJudge {
    private static final long WINDOW_MS = SimulatedWorld.WINDOW_MS;
    private final Fleet fleet;
    private final Judge judge = new Judge(System::currentTimeMillis, what -> {});
    private final List<SimulatedWorld.Interval> withdrawnKeys = new ArrayList<>();
    private final List<SimulatedWorld.Interval> drained = new ArrayList<>();
    private final List<SimulatedWorld.Interval> unavailable = new ArrayList<>();
    private final Map<String, Long> readyAtMs = new HashMap<>();

    public FleetJudge(final Fleet fleet) {
        this.fleet = fleet;
    }

    public Judge judge() {
        return judge;
    }

    /** Records that an accepted change withdrew a tenant's key. All requests of the tenant count as sent with that key. */
    public void withdrawnKeys(final String tenant, final long fromMs, final long untilMs) {
        withdrawnKeys.add(new SimulatedWorld.Interval(tenant, fromMs, untilMs));
    }

    /** Records that an instance was leaving, or a zone was on hold, in the interval. */
    public void drained(final String subject, final long fromMs, final long untilMs) {
        drained.add(new SimulatedWorld.Interval(subject, fromMs, untilMs));
    }

    /** Records that no four cores with state were up and connected in the interval, and whether acknowledged state was lost. */
    public void unavailable(final long fromMs, final long untilMs, final boolean lost) {
        unavailable.add(new SimulatedWorld.Interval(
                "fleet",
                fromMs,
                untilMs + (lost ? ExpectedAvailability.RECOVERY_AFTER_LOSS_MS : ExpectedAvailability.RECOVERY_MS)));
    }

    /** Records when an upstream started cold; its warm-up counts from then. */
    public void warmingUp(final String instance, final long atMs) {
        readyAtMs.put(instance, atMs);
    }

    /** Checks the whole run. A usage window is checked only once the bound on its report has passed. */
    public void judgeRun() throws IOException {
        final List<Ledger.Began> began = fleet.ledger().began();
        final Map<String, List<Long>> begins = new HashMap<>();
        began.forEach(b ->
                begins.computeIfAbsent(b.requestId(), i -> new ArrayList<>()).add(b.atMs()));
        begins.forEach((id, at) -> {
            if (id.startsWith("t1-")) {
                judge.check(Rule.ONCE, at.size() > 1 ? at.size() : 0.5, id + " ran " + at.size() + " times");
            }
        });
        checkAnswers(begins);
        for (final Ledger.Began b : began) {
            judge.check(
                    Rule.HOME,
                    Deployment.homeRegions(Integer.parseInt(
                                            b.tenant().substring(b.tenant().indexOf('-') + 1)))
                                    .contains(b.region())
                            ? 0
                            : 2,
                    b.requestId() + " of " + b.tenant() + " in " + b.region());
            checkIntervals(withdrawnKeys, Rule.KEY, b, b.tenant());
            checkIntervals(drained, Rule.LEAVING, b, b.instance());
            checkIntervals(drained, Rule.LEAVING, b, b.zone());
        }
        warmingUp(began);
        checkReports(began);
    }

    private void checkAnswers(final Map<String, List<Long>> begins) throws IOException {
        if (!Files.exists(fleet.recordFile())) {
            return;
        }
        for (final String line : Files.readAllLines(fleet.recordFile())) {
            final String[] parts = line.split(" ");
            final List<Long> at = begins.getOrDefault(parts[0], List.of());
            if (parts[1].equals("not-run") && parts[0].startsWith("t1-")) {
                final long toldMs = Long.parseLong(parts[3]);
                judge.check(Rule.NOT_RUN, at.stream().anyMatch(a -> a <= toldMs) ? 2 : 0, line + ", began at " + at);
            } else if (parts[1].equals("ran")) {
                judge.check(Rule.OWN_ANSWER, at.isEmpty() ? 2 : 0, line + ", never began");
            }
        }
    }

    private void checkIntervals(
            final List<SimulatedWorld.Interval> spans, final Rule rule, final Ledger.Began b, final String subject) {
        for (final SimulatedWorld.Interval span : spans) {
            if (span.subject().equals(subject) && b.atMs() > span.fromMs() && b.atMs() < span.untilMs()) {
                judge.check(
                        rule,
                        (b.atMs() - span.fromMs()) / (double) rule.strictBoundMs,
                        b.requestId() + " to " + subject + " " + (b.atMs() - span.fromMs())
                                + " ms after the withdrawal or drain");
            }
        }
    }

    private void warmingUp(final List<Ledger.Began> began) {
        final Map<String, Map<Long, Integer>> perSecond = new TreeMap<>();
        for (final Ledger.Began b : began) {
            final Long ready = readyAtMs.get(b.instance());
            if (ready != null && b.atMs() - ready < SimulatedWorld.WARMUP_MS) {
                perSecond
                        .computeIfAbsent(b.instance(), i -> new TreeMap<>())
                        .merge((b.atMs() - ready) / 1000, 1, Integer::sum);
            }
        }
        perSecond.forEach((instance, seconds) -> seconds.forEach((second, n) -> judge.check(
                Rule.COLD, n / Judge.maxWarmUpRequests(second), instance + " got " + n + " in second " + second)));
    }

    private void checkReports(final List<Ledger.Began> began) {
        final Map<Long, Map<String, Long>> counts = new HashMap<>();
        final Map<Long, String> holders = new HashMap<>();
        long newest = 0;
        for (final Ledger.Reported r : fleet.ledger().reported()) {
            final Map<String, Long> earlier = counts.putIfAbsent(r.window(), r.counts());
            judge.check(
                    Rule.SAME_COUNTS, earlier == null || earlier.equals(r.counts()) ? 0 : 2, "window " + r.window());
            final String other = holders.putIfAbsent(r.token(), r.holder());
            judge.check(
                    Rule.TOKEN,
                    (other == null || other.equals(r.holder())) && r.token() >= newest ? 0 : 2,
                    "token " + r.token() + " of " + r.holder());
            newest = Math.max(newest, r.token());
            if (earlier == null) {
                judge.check(
                        Rule.IN_TIME,
                        (r.atMs() - (r.window() + 1) * WINDOW_MS) / (double) Rule.IN_TIME.strictBoundMs,
                        "report of window " + r.window() + " arrived");
            }
        }
        final long firstWindow =
                counts.keySet().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
        final Map<Long, Map<String, Long>> truth = new TreeMap<>();
        began.forEach(b -> truth.computeIfAbsent(b.atMs() / WINDOW_MS, w -> new TreeMap<>())
                .merge(b.tenant(), 1L, Long::sum));
        truth.forEach((window, real) -> {
            final long endMs = (window + 1) * WINDOW_MS;
            if (endMs + Rule.IN_TIME.strictBoundMs > System.currentTimeMillis()) {
                return;
            }
            final boolean excused = unavailable.stream()
                    .anyMatch(
                            s -> s.fromMs() <= endMs + Rule.IN_TIME.strictBoundMs && s.untilMs() >= endMs - WINDOW_MS);
            if (counts.containsKey(window)) {
                if (!excused) {
                    judge.checkCounts(window, real, counts.get(window));
                }
            } else if (!excused && window >= firstWindow) {
                judge.violated(Rule.IN_TIME, "window " + window + " was never reported");
            }
        });
    }
}
