package spokestall.testbed.scale;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import spokestall.configuration.ConfigurationChange;
import spokestall.testbed.simulation.SimulatedWorld;
import spokestall.testbed.verdict.Judge;
import spokestall.testbed.verdict.Rule;

/** The rules that can be seen at scale, looked at by the world. */
final class ScaleJudge {
    private record Report(Map<String, Long> counts, long atMs) {}

    private final ScaleRun run;
    final Judge judge;
    private final Map<Long, ConfigurationChange> versions = new HashMap<>();
    private final Map<ScaleNode, Long> seen = new HashMap<>();
    private final Map<ScaleNode, Long> seenIncarnation = new HashMap<>();
    private final TreeMap<Long, Report> reports = new TreeMap<>();
    private long token;
    private String holder = "";

    ScaleJudge(final ScaleRun run) {
        this.run = run;
        this.judge = new Judge(run.steps::nowMs, line -> {});
    }

    /** Never two versions of one number, and none back. */
    void versions(final ScaleNode node) {
        final long version = node.node().configurationStore().configuration().version();
        final long before =
                node.upSinceMs() == seenIncarnation.getOrDefault(node, -2L) ? seen.getOrDefault(node, 0L) : 0;
        if (version == before) {
            return;
        }
        seenIncarnation.put(node, node.upSinceMs());
        seen.put(node, version);
        judge.check(Rule.POLICY, version < before ? 2 : 0, node.name + " went from " + before + " back to " + version);
        node.node().configurationStore().retainedAfter(before).forEach((v, change) -> {
            final ConfigurationChange had = versions.putIfAbsent(v, change);
            judge.check(
                    Rule.POLICY,
                    had == null
                                    || had.changeId().equals(change.changeId())
                                            && java.util.Arrays.equals(had.json(), change.json())
                            ? 0
                            : 2,
                    "two versions " + v + " at " + node.name);
        });
    }

    /** One window is reported with one count, and no token falls or is shared. */
    void reported(final String by, final long with, final long window, final Map<String, Long> counts) {
        final Report had = reports.putIfAbsent(window, new Report(counts, run.steps.nowMs()));
        judge.check(
                Rule.SAME_COUNTS,
                had == null || had.counts.equals(counts) ? 0 : 2,
                "window " + window + " twice, differing");
        judge.check(
                Rule.TOKEN,
                with < token || with == token && !by.equals(holder) ? 2 : 0,
                by + " with " + with + " after " + token);
        token = Math.max(token, with);
        holder = by;
    }

    long reports() {
        return reports.size();
    }

    /** How far the windows' counts are off what the edges counted, and how late they came; the last ones may be on their way. */
    void end(final Iterable<ScaleNode> nodes) {
        final Map<Long, Long> counted = new TreeMap<>();
        nodes.forEach(n -> n.counted.forEach((w, c) -> counted.merge(w, c, Long::sum)));
        reports.forEach((window, report) -> {
            final long told =
                    report.counts.values().stream().mapToLong(Long::longValue).sum();
            final long was = counted.getOrDefault(window, 0L);
            judge.check(
                    Rule.IN_TIME,
                    was == 0 ? 0 : Math.abs(told - was) / (0.05 * was),
                    "window " + window + " has " + was + ", told " + told);
            final long lateMs = report.atMs + SimulatedWorld.EPOCH_MS - (window + 1) * run.windowMs;
            judge.check(
                    Rule.IN_TIME,
                    lateMs / (double) Rule.IN_TIME.strictBoundMs,
                    "window " + window + " " + lateMs + " ms after its end");
        });
        nodes.forEach(n -> {
            if (!n.core && n.acted > 0) {
                judge.check(
                        Rule.KEY,
                        n.actedLateMs / (double) run.keyBoundMs,
                        n.name + " acted by a version " + n.actedLateMs + " ms after a newer one was told as accepted");
            }
        });
    }
}
