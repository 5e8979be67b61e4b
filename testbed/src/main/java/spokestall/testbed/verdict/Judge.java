package spokestall.testbed.verdict;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import spokestall.message.Header;
import spokestall.testbed.simulation.SimulatedWorld;

/** Checks a run against the rules, only from what clients, upstreams and the platform saw. */
public final class Judge {
    /** Results of one rule: checks, violations, and the largest part of the bound that was used up (1 = at the bound). */
    public static final class Tally {
        public long checks;
        public long violations;
        public double worstShare;
        public String worstCase = "";
        public String firstViolation = "";
    }

    private final LongSupplier nowMs;
    private final Consumer<String> trace;
    private final Map<Rule, Tally> tallies = new EnumMap<>(Rule.class);

    public Judge(final LongSupplier nowMs, final Consumer<String> trace) {
        this.nowMs = nowMs;
        this.trace = trace;
        for (final Rule rule : Rule.values()) {
            tallies.put(rule, new Tally());
        }
    }

    public Map<Rule, Tally> tallies() {
        return tallies;
    }

    public void violated(final Rule rule, final String description) {
        check(rule, 2, description);
    }

    /** Records one check of a rule. The share is the part of the bound that was used up; above 1 the rule is broken. */
    public void check(final Rule rule, final double share, final String description) {
        final Tally t = tallies.get(rule);
        t.checks++;
        if (share > t.worstShare) {
            t.worstShare = share;
            t.worstCase = description;
        }
        if (share > 1) {
            t.violations++;
            if (t.firstViolation.isEmpty()) {
                t.firstViolation = "at " + nowMs.getAsLong() + ": " + description;
            }
            trace.accept("VIOLATION " + rule + " " + description);
        }
    }

    /** Checks everything that was recorded, at the end of a run. */
    public void judgeRun(final SimulatedWorld world) {
        checkRunOnce(world);
        checkAnswers(world);
        checkExecutions(world);
        checkWarmUps(world);
        checkRetries(world);
        checkReports(world);
    }

    private void checkRunOnce(final SimulatedWorld w) {
        final Map<String, Integer> runs = new HashMap<>();
        for (final SimulatedWorld.Begun b : w.executions) {
            final SimulatedWorld.ClientRequest clientRequest = w.requests.get(b.requestId());
            if (clientRequest != null && clientRequest.kind.runOnce()) {
                runs.merge(b.requestId(), 1, Integer::sum);
            }
        }
        runs.forEach((id, n) -> check(Rule.ONCE, n > 1 ? n : 0.5, id + " ran " + n + " times"));
    }

    private void checkAnswers(final SimulatedWorld w) {
        final Map<String, List<Long>> begins = new HashMap<>();
        for (final SimulatedWorld.Begun b : w.executions) {
            begins.computeIfAbsent(b.requestId(), i -> new ArrayList<>()).add(b.atMs());
        }
        for (final SimulatedWorld.Told t : w.responses) {
            final SimulatedWorld.ClientRequest clientRequest = w.requests.get(t.requestId());
            if (t.ran() == spokestall.proxy.ExecutionStatus.NOT_RUN) {
                boolean broken = false;
                for (final long at : begins.getOrDefault(t.requestId(), List.of())) {
                    // The request may begin after the response if the client sent it again in between.
                    final boolean later = clientRequest.sentMs.stream().anyMatch(s -> s >= t.atMs() && s <= at);
                    broken |= !(at > t.atMs() && later);
                }
                check(
                        Rule.NOT_RUN,
                        broken ? 2 : 0,
                        t.requestId() + " reported as not run at " + t.atMs() + ", began at "
                                + begins.get(t.requestId()));
            } else if (t.ran() == spokestall.proxy.ExecutionStatus.RAN) {
                final boolean ran = begins.containsKey(t.requestId());
                final String want = "answer to " + t.requestId() + " by " + t.instance();
                final String body =
                        t.content() == null ? null : new String(t.content().body(), StandardCharsets.UTF_8);
                final boolean own = ran
                        && (body == null && t.code() == 1002
                                || body != null
                                        && body.startsWith(want)
                                        && body.endsWith("whole")
                                        && t.content().headers().contains(new Header("X-Answer-To", t.requestId())));
                check(Rule.OWN_ANSWER, own ? 0 : 2, t.requestId() + " got '" + body + "'");
            }
        }
    }

    private void checkExecutions(final SimulatedWorld w) {
        for (final SimulatedWorld.Begun b : w.executions) {
            final SimulatedWorld.ClientRequest clientRequest = w.requests.get(b.requestId());
            final List<String> home = w.homeRegions(clientRequest.kind.tenant());
            check(
                    Rule.HOME,
                    home.contains(b.region()) && home.contains(b.edgeRegion()) ? 0 : 2,
                    b.requestId() + " of " + clientRequest.kind.tenant() + " in " + b.edgeRegion() + " and "
                            + b.region());
            for (final SimulatedWorld.Interval span : w.withdrawnKeys) {
                if (span.subject().equals(clientRequest.kind.key())
                        && b.atMs() > span.fromMs()
                        && b.atMs() < span.untilMs()) {
                    check(
                            Rule.KEY,
                            (b.atMs() - span.fromMs()) / (double) Rule.KEY.strictBoundMs,
                            b.requestId() + " with " + span.subject() + " " + (b.atMs() - span.fromMs())
                                    + " ms after its withdrawal");
                }
            }
            for (final SimulatedWorld.Interval span : w.drained) {
                final boolean there = span.subject().equals(b.instance())
                        || span.subject().equals(b.zone())
                        || span.subject().equals(b.edgeZone());
                if (there && b.atMs() > span.fromMs() && b.atMs() < span.untilMs()) {
                    check(
                            Rule.LEAVING,
                            (b.atMs() - span.fromMs()) / (double) Rule.LEAVING.strictBoundMs,
                            b.requestId() + " to " + span.subject() + " " + (b.atMs() - span.fromMs())
                                    + " ms after its drain began");
                }
            }
        }
        for (final SimulatedWorld.Interval span : w.withdrawnKeys) {
            check(Rule.KEY, 0, span.subject());
        }
        for (final SimulatedWorld.Interval span : w.drained) {
            check(Rule.LEAVING, 0, span.subject());
        }
    }

    /** Checks that a warming upstream gets at most one and a half times its ramp in each second, plus the rule's slack. */
    private void checkWarmUps(final SimulatedWorld w) {
        final Map<String, Map<Long, Integer>> perSecond = new HashMap<>();
        for (final SimulatedWorld.Begun b : w.executions) {
            if (b.ageMs() < SimulatedWorld.WARMUP_MS) {
                perSecond
                        .computeIfAbsent(b.instance() + "@" + (b.atMs() - b.ageMs()), i -> new TreeMap<>())
                        .merge(b.ageMs() / 1000, 1, Integer::sum);
            }
        }
        perSecond.forEach((incarnation, seconds) -> seconds.forEach((second, n) -> {
            final double most = maxWarmUpRequests(second);
            check(Rule.COLD, n / most, incarnation + " got " + n + " in second " + second + ", most " + most);
        }));
    }

    /** Returns the most requests that a cold upstream may get in the given second of its warm-up. */
    static double maxWarmUpRequests(final long second) {
        return 1.5 * SimulatedWorld.WARM_PER_S * (second + 1) * 1000 / SimulatedWorld.WARMUP_MS + Rule.COLD.slack;
    }

    private void checkRetries(final SimulatedWorld w) {
        final Map<String, List<SimulatedWorld.Gone>> byService = new TreeMap<>();
        w.attempts.forEach(g ->
                byService.computeIfAbsent(g.service(), s -> new ArrayList<>()).add(g));
        byService.forEach((service, attempts) -> {
            int from = 0;
            int first = 0;
            int retries = 0;
            for (int to = 0; to < attempts.size(); to++) {
                final SimulatedWorld.Gone g = attempts.get(to);
                first += g.turn() == 1 ? 1 : 0;
                retries += g.turn() > 1 ? 1 : 0;
                while (g.atMs() - attempts.get(from).atMs() > Rule.RETRIES.strictBoundMs) {
                    first -= attempts.get(from).turn() == 1 ? 1 : 0;
                    retries -= attempts.get(from).turn() > 1 ? 1 : 0;
                    from++;
                }
                check(
                        Rule.RETRIES,
                        retries / (0.2 * first + Rule.RETRIES.slack),
                        retries + " retries on " + first + " requests of " + service + " until " + g.atMs());
            }
        });
    }

    private void checkReports(final SimulatedWorld w) {
        final Map<Long, Map<String, Long>> counts = new HashMap<>();
        final Map<Long, String> holderOf = new HashMap<>();
        long newest = 0;
        final Map<Long, Long> firstOf = new TreeMap<>();
        for (final Ledger.Reported r : w.reports) {
            final Map<String, Long> earlier = counts.putIfAbsent(r.window(), r.counts());
            check(
                    Rule.SAME_COUNTS,
                    earlier == null || earlier.equals(r.counts()) ? 0 : 2,
                    "window " + r.window() + " was reported with " + earlier + " and " + r.counts());
            final String other = holderOf.putIfAbsent(r.token(), r.holder());
            check(
                    Rule.TOKEN,
                    other == null || other.equals(r.holder()) ? 0 : 2,
                    "token " + r.token() + " held by " + other + " and " + r.holder());
            check(
                    Rule.TOKEN,
                    r.token() >= newest ? 0 : 2,
                    r.holder() + " reported with token " + r.token() + " at " + r.atMs() + " after token " + newest);
            newest = Math.max(newest, r.token());
            final long endMs = (r.window() + 1) * SimulatedWorld.WINDOW_MS - SimulatedWorld.EPOCH_MS;
            if (firstOf.putIfAbsent(r.window(), r.atMs()) == null) {
                check(
                        Rule.IN_TIME,
                        (r.atMs() - endMs) / (double) Rule.IN_TIME.strictBoundMs,
                        "report of window " + r.window() + " arrived " + (r.atMs() - endMs) + " ms after its end");
            }
        }
        final Map<Long, Map<String, Long>> truth = new TreeMap<>();
        w.executions.forEach(b -> truth.computeIfAbsent(
                        (SimulatedWorld.EPOCH_MS + b.atMs()) / SimulatedWorld.WINDOW_MS, x -> new TreeMap<>())
                .merge(w.requests.get(b.requestId()).kind.tenant(), 1L, Long::sum));
        truth.forEach((window, real) -> {
            final long endMs = (window + 1) * SimulatedWorld.WINDOW_MS - SimulatedWorld.EPOCH_MS;
            if (endMs + Rule.IN_TIME.strictBoundMs > nowMs.getAsLong()) {
                return;
            }
            final Map<String, Long> said = counts.get(window);
            if (said == null) {
                if (!w.availability.unavailable(endMs, endMs + Rule.IN_TIME.strictBoundMs)) {
                    violated(Rule.IN_TIME, "window " + window + " ended at " + endMs + " and was never reported");
                }
                return;
            }
            if (!w.availability.allCoresWentDown(endMs - SimulatedWorld.WINDOW_MS, firstOf.get(window))) {
                checkCounts(window, real, said);
            }
        });
    }

    /** Checks each tenant's count separately. A few requests at a window's edges may be counted in the adjacent window. */
    void checkCounts(final long window, final Map<String, Long> actual, final Map<String, Long> reported) {
        final Set<String> tenants = new TreeSet<>(actual.keySet());
        tenants.addAll(reported.keySet());
        for (final String tenant : tenants) {
            final long actualCount = actual.getOrDefault(tenant, 0L);
            final long reportedCount = reported.getOrDefault(tenant, 0L);
            check(
                    Rule.IN_TIME,
                    Math.max(0, Math.abs(actualCount - reportedCount) - Rule.IN_TIME.slack)
                            / Math.max(1, 0.05 * actualCount),
                    "window " + window + " has " + actualCount + " of " + tenant + ", reported " + reportedCount);
        }
    }
}
