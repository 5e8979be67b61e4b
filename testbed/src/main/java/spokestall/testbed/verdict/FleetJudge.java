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

/** Judges a run of real processes by the same rules, from the ledger of the stand-ins and what clients recorded. */
public final class FleetJudge {
    private static final long WINDOW_MS = SimulatedWorld.WINDOW_MS;
    private final Fleet fleet;
    private final Judge judge = new Judge(System::currentTimeMillis, what -> {});
    private final List<SimulatedWorld.Span> withdrawn = new ArrayList<>();
    private final List<SimulatedWorld.Span> emptied = new ArrayList<>();
    private final List<SimulatedWorld.Span> unable = new ArrayList<>();
    private final Map<String, Long> readyAtMs = new HashMap<>();

    public FleetJudge(final Fleet fleet) {
        this.fleet = fleet;
    }

    public Judge judge() {
        return judge;
    }

    /** A key was withdrawn by an accepted change; asks by it are the tenant's. */
    public void withdrawn(final String tenant, final long fromMs, final long untilMs) {
        withdrawn.add(new SimulatedWorld.Span(tenant, fromMs, untilMs));
    }

    /** An instance is leaving, or a zone held. */
    public void emptied(final String what, final long fromMs, final long untilMs) {
        emptied.add(new SimulatedWorld.Span(what, fromMs, untilMs));
    }

    /** No four cores with state were up and joined. */
    public void unable(final long fromMs, final long untilMs, final boolean lost) {
        unable.add(new SimulatedWorld.Span(
                "fleet",
                fromMs,
                untilMs + (lost ? ExpectedAvailability.RECOVER_LOST_MS : ExpectedAvailability.RECOVER_MS)));
    }

    /** An upstream that came up cold. */
    public void warmingUp(final String instance, final long atMs) {
        readyAtMs.put(instance, atMs);
    }

    /** Judges all of it; a window is looked at once its time is over. */
    public void end() throws IOException {
        final List<Ledger.Began> began = fleet.ledger().began();
        final Map<String, List<Long>> begins = new HashMap<>();
        began.forEach(b ->
                begins.computeIfAbsent(b.requestId(), i -> new ArrayList<>()).add(b.atMs()));
        begins.forEach((id, at) -> {
            if (id.startsWith("t1-")) {
                judge.check(Rule.ONCE, at.size() > 1 ? at.size() : 0.5, id + " ran " + at.size() + " times");
            }
        });
        told(begins);
        for (final Ledger.Began b : began) {
            judge.check(
                    Rule.HOME,
                    Deployment.homeRegions(Integer.parseInt(
                                            b.tenant().substring(b.tenant().indexOf('-') + 1)))
                                    .contains(b.region())
                            ? 0
                            : 2,
                    b.requestId() + " of " + b.tenant() + " in " + b.region());
            spans(withdrawn, Rule.KEY, b, b.tenant());
            spans(emptied, Rule.LEAVING, b, b.instance());
            spans(emptied, Rule.LEAVING, b, b.zone());
        }
        warmingUp(began);
        reports(began);
    }

    private void told(final Map<String, List<Long>> begins) throws IOException {
        if (!Files.exists(fleet.recordFile())) {
            return;
        }
        for (final String line : Files.readAllLines(fleet.recordFile())) {
            final String[] parts = line.split(" ");
            final List<Long> at = begins.getOrDefault(parts[0], List.of());
            if (parts[1].equals("not-run") && parts[0].startsWith("t1-")) {
                final long toldMs = Long.parseLong(parts[3]);
                judge.check(Rule.NOT_RUN, at.stream().anyMatch(a -> a <= toldMs) ? 2 : 0, line + " begun at " + at);
            } else if (parts[1].equals("ran")) {
                judge.check(Rule.OWN_ANSWER, at.isEmpty() ? 2 : 0, line + " never begun");
            }
        }
    }

    private void spans(
            final List<SimulatedWorld.Span> spans, final Rule rule, final Ledger.Began b, final String what) {
        for (final SimulatedWorld.Span span : spans) {
            if (span.what().equals(what) && b.atMs() > span.fromMs() && b.atMs() < span.untilMs()) {
                judge.check(
                        rule,
                        (b.atMs() - span.fromMs()) / (double) rule.nearMs,
                        b.requestId() + " to " + what + " " + (b.atMs() - span.fromMs()) + " ms after");
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
        perSecond.forEach((instance, seconds) -> seconds.forEach((second, n) ->
                judge.check(Rule.COLD, n / Judge.rampMost(second), instance + " got " + n + " in second " + second)));
    }

    private void reports(final List<Ledger.Began> began) {
        final Map<Long, Map<String, Long>> counts = new HashMap<>();
        final Map<Long, String> holders = new HashMap<>();
        long newest = 0;
        for (final Ledger.Reported r : fleet.ledger().reported()) {
            final Map<String, Long> had = counts.putIfAbsent(r.window(), r.counts());
            judge.check(Rule.SAME_COUNTS, had == null || had.equals(r.counts()) ? 0 : 2, "window " + r.window());
            final String other = holders.putIfAbsent(r.token(), r.holder());
            judge.check(
                    Rule.TOKEN,
                    (other == null || other.equals(r.holder())) && r.token() >= newest ? 0 : 2,
                    "token " + r.token() + " of " + r.holder());
            newest = Math.max(newest, r.token());
            if (had == null) {
                judge.check(
                        Rule.IN_TIME,
                        (r.atMs() - (r.window() + 1) * WINDOW_MS) / (double) Rule.IN_TIME.nearMs,
                        "window " + r.window() + " came");
            }
        }
        final long firstWindow =
                counts.keySet().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
        final Map<Long, Map<String, Long>> truth = new TreeMap<>();
        began.forEach(b -> truth.computeIfAbsent(b.atMs() / WINDOW_MS, w -> new TreeMap<>())
                .merge(b.tenant(), 1L, Long::sum));
        truth.forEach((window, real) -> {
            final long endMs = (window + 1) * WINDOW_MS;
            if (endMs + Rule.IN_TIME.nearMs > System.currentTimeMillis()) {
                return;
            }
            final boolean excused = unable.stream()
                    .anyMatch(s -> s.fromMs() <= endMs + Rule.IN_TIME.nearMs && s.untilMs() >= endMs - WINDOW_MS);
            if (counts.containsKey(window)) {
                if (!excused) {
                    judge.counted(window, real, counts.get(window));
                }
            } else if (!excused && window >= firstWindow) {
                judge.violated(Rule.IN_TIME, "window " + window + " never came");
            }
        });
    }
}
