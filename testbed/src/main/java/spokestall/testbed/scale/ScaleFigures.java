package spokestall.testbed.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import spokestall.message.MessageCodec;

/** Makes figures of a run that is over. */
final class ScaleFigures {
    private static final int TURNS = 200;
    private final ScaleRun run;
    private final List<Figure> found = new ArrayList<>();

    private interface Count {
        long of(ScaleTraffic traffic, Phase phase, Distance distance, int kind);
    }

    private ScaleFigures(final ScaleRun run) {
        this.run = run;
    }

    static List<Figure> of(final ScaleRun run, final long heapBytes) {
        final ScaleFigures figures = new ScaleFigures(run);
        for (final Phase phase : Phase.values()) {
            if (run.spanMs.getOrDefault(phase, 0L) > 0) {
                figures.phase(phase);
            }
        }
        figures.state(heapBytes);
        return figures.found;
    }

    private void add(final String phase, final String role, final String what, final double value) {
        found.add(new Figure(phase, role, what, Figure.ALL, Figure.ALL, value));
    }

    private void phase(final Phase phase) {
        final double s = run.spanMs.get(phase) / 1000.0;
        add(phase.name(), "fleet", "spanS", s);
        for (final boolean core : new boolean[] {true, false}) {
            final String role = core ? "core" : "edge";
            final List<ScaleNode> of =
                    run.nodes.stream().filter(n -> n.core == core).toList();
            traffic(phase, role, of, s, "notesIn", ScaleTraffic::messagesIn);
            traffic(phase, role, of, s, "notesOut", ScaleTraffic::messagesOut);
            traffic(phase, role, of, s, "bytesIn", ScaleTraffic::bytesIn);
            traffic(phase, role, of, s, "bytesOut", ScaleTraffic::bytesOut);
            cpu(phase, role, of, s);
            spread(phase.name(), role, "proofMs", run.proofs.get(phase).get(core));
        }
        spread(phase.name(), "edge", "wordMs", run.words.get(phase));
        add(
                phase.name(),
                "edge",
                "wordNone",
                run.wordless.getOrDefault(phase, 0L)
                        / (double) Math.max(
                                1, run.words.get(phase).getTotalCount() + run.wordless.getOrDefault(phase, 0L)));
        final double requests = Math.max(1, sum(n -> !n.core, n -> n.requests[phase.ordinal()]));
        add(phase.name(), "edge", "deniedStale", sum(n -> !n.core, n -> n.stale[phase.ordinal()]) / requests);
        add(phase.name(), "edge", "deniedUncounted", sum(n -> !n.core, n -> n.uncounted[phase.ordinal()]) / requests);
        final Histogram most = new Histogram(3);
        final Histogram all = new Histogram(3);
        run.inForce.forEach((a, at) -> {
            if (a.phase() == phase) {
                if (at[0] >= 0) {
                    most.recordValue(at[0] - a.sentMs());
                }
                if (at[1] >= 0) {
                    all.recordValue(at[1] - a.sentMs());
                }
            }
        });
        spread(phase.name(), "fleet", "inForce99Ms", most);
        spread(phase.name(), "fleet", "inForceAllMs", all);
    }

    private double sum(final Predicate<ScaleNode> which, final java.util.function.ToLongFunction<ScaleNode> what) {
        return run.nodes.stream().filter(which).mapToLong(what).sum();
    }

    private void spread(final String phase, final String role, final String what, final Histogram h) {
        if (h.getTotalCount() > 0) {
            add(phase, role, what + "P50", (double) h.getValueAtPercentile(50));
            add(phase, role, what + "P99", (double) h.getValueAtPercentile(99));
            add(phase, role, what + "Max", (double) h.getMaxValue());
        }
    }

    private void traffic(
            final Phase phase,
            final String role,
            final List<ScaleNode> of,
            final double s,
            final String what,
            final Count count) {
        final double per = of.size() * s;
        final TreeMap<String, double[]> byKind = new TreeMap<>();
        final double[] all = new double[Distance.values().length];
        long most = 0;
        for (final ScaleNode n : of) {
            long mine = 0;
            for (final Distance distance : Distance.values()) {
                for (int kind = 0; kind < ScaleTraffic.TIMER; kind++) {
                    final long c = count.of(n.traffic, phase, distance, kind);
                    if (c > 0) {
                        byKind.computeIfAbsent(name(kind), k -> new double[all.length])[distance.ordinal()] += c / per;
                        all[distance.ordinal()] += c / per;
                        mine += c;
                    }
                }
            }
            most = Math.max(most, mine);
        }
        put(phase, role, what, Figure.ALL, all);
        add(phase.name(), role, what + "Busiest", most / s);
        byKind.forEach((kind, zones) -> put(phase, role, what, kind, zones));
    }

    private void put(final Phase phase, final String role, final String what, final String kind, final double[] zones) {
        double sum = 0;
        for (final Distance distance : Distance.values()) {
            sum += zones[distance.ordinal()];
            found.add(new Figure(phase.name(), role, what, kind, distance.name(), zones[distance.ordinal()]));
        }
        found.add(new Figure(phase.name(), role, what, kind, Figure.ALL, sum));
    }

    /** What a kind of note is called, by any node that sent one. */
    private String name(final int kind) {
        return run.nodes.stream()
                .map(n -> n.kind(kind))
                .filter(k -> k != null)
                .findFirst()
                .orElse("kind" + kind);
    }

    private void cpu(final Phase phase, final String role, final List<ScaleNode> of, final double s) {
        double all = 0;
        double most = 0;
        for (int kind = 0; kind < ScaleTraffic.KINDS; kind++) {
            final int k = kind;
            final double share =
                    of.stream().mapToLong(n -> n.traffic.cpuNs(phase, k)).sum() / 1e9 / s / of.size();
            if (share > 0) {
                found.add(new Figure(phase.name(), role, "cpu", name(kind), Figure.ALL, share));
                all += share;
            }
        }
        for (final ScaleNode n : of) {
            double mine = 0;
            for (int kind = 0; kind < ScaleTraffic.KINDS; kind++) {
                mine += n.traffic.cpuNs(phase, kind) / 1e9 / s;
            }
            most = Math.max(most, mine);
        }
        add(phase.name(), role, "cpu", all);
        add(phase.name(), role, "cpuBusiest", most);
    }

    private void state(final long heapBytes) {
        final String end = "END";
        final double runS = Math.max(1, run.steps.nowMs()) / 1000.0;
        add(end, "fleet", "heapBytesPerNode", (double) heapBytes / run.nodes.size());
        add(end, "fleet", "policyBytes", (double) run.configurationBytes);
        add(end, "fleet", "reports", (double) run.judge.reports());
        add(end, "fleet", "readyMs", (double) run.readyMs());
        for (final boolean core : new boolean[] {true, false}) {
            final String role = core ? "core" : "edge";
            final List<ScaleNode> of =
                    run.nodes.stream().filter(n -> n.core == core && n.up()).toList();
            add(
                    end,
                    role,
                    "listed",
                    of.stream()
                            .mapToInt(
                                    n -> n.node().endpointRegistry().endpoints().size())
                            .average()
                            .orElse(0));
            add(
                    end,
                    role,
                    "words",
                    of.stream()
                            .mapToInt(n -> n.node()
                                    .endpointRegistry()
                                    .observationsAfter(0)
                                    .size())
                            .average()
                            .orElse(0));
            add(
                    end,
                    role,
                    "listBytes",
                    of.stream()
                            .limit(3)
                            .mapToLong(n -> n.node().endpointRegistry().endpoints().stream()
                                            .mapToLong(l -> MessageCodec.encodeRecord(l).length)
                                            .sum()
                                    + n.node().endpointRegistry().observationsAfter(0).stream()
                                            .mapToLong(r -> MessageCodec.encodeRecord(r).length)
                                            .sum())
                            .average()
                            .orElse(0));
            of.stream()
                    .limit(1)
                    .forEach(n -> n.node()
                            .call(
                                    "status",
                                    new com.fasterxml.jackson.databind.ObjectMapper().createObjectNode(),
                                    reply -> add(
                                            end,
                                            role,
                                            "view",
                                            reply.fields().path("nodes").size())));
        }
        final List<ScaleNode> cores = run.nodes.stream().filter(n -> n.core).toList();
        final List<ScaleNode> up = cores.stream().filter(ScaleNode::up).toList();
        add(
                end,
                "core",
                "registers",
                up.stream()
                        .mapToInt(n -> n.node().acceptor().registers().size())
                        .average()
                        .orElse(0));
        add(
                end,
                "core",
                "registerBytes",
                up.stream()
                        .mapToLong(n -> n.node().acceptor().registers().values().stream()
                                .mapToLong(r -> MessageCodec.encodeRecord(r).length)
                                .sum())
                        .average()
                        .orElse(0));
        add(end, "core", "syncs", cores.stream().mapToLong(n -> n.disk.syncs()).sum() / runS / cores.size());
        add(
                end,
                "core",
                "diskBytes",
                cores.stream().mapToLong(n -> n.disk.bytesWritten()).sum() / runS / cores.size());
        add(end, "core", "probes", cores.stream().mapToLong(n -> n.probes).sum() / runS / cores.size());
        run.nodes.stream().filter(n -> !n.core && n.up()).findFirst().ifPresent(n -> {
            final String service = run.shape.service(0);
            long bestNs = Long.MAX_VALUE;
            for (int turn = 0; turn < TURNS; turn++) {
                final long fromNs = System.nanoTime();
                n.node().endpointRegistry().readyUpstreams(service, n.node().fleetMs());
                bestNs = Math.min(bestNs, System.nanoTime() - fromNs);
            }
            add(end, "edge", "readyUs", bestNs / 1000.0);
        });
        run.judge.judge.tallies().forEach((rule, t) -> {
            if (t.checks > 0) {
                found.add(new Figure(end, "rule", "broken", rule.name(), Figure.ALL, t.violations));
                found.add(new Figure(end, "rule", "worst", rule.name(), Figure.ALL, t.worstShare));
                found.add(new Figure(end, "rule", "checks", rule.name(), Figure.ALL, t.checks));
            }
        });
    }
}
