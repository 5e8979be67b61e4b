package spokestall.testbed.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Runs a fleet at scale and prints what came of it. */
public final class ScaleCommand {
    private static final int KINDS_TOLD = 6;

    private ScaleCommand() {}

    /** Example: {@code bin/testbed scale --nodes 48 --seconds 30 --out target/scale-48.jsonl} */
    public static int run(final ScaleFlags flags) throws Exception {
        if (flags.fit != null) {
            return ScaleFit.run(flags);
        }
        final long before = heap();
        int broken = 0;
        try (ScaleRun run = new ScaleRun(flags)) {
            System.out.printf(
                    "nodes=%d cores=%d regions=%d districts=%d upstreams=%d services=%d bindings=%d tenants=%d rate=%d seed=%d"
                            + " policyBytes=%d set=%s%n",
                    flags.nodes,
                    flags.cores,
                    flags.regions,
                    flags.zones,
                    flags.upstreams,
                    flags.services,
                    flags.routes,
                    flags.tenants,
                    flags.rate,
                    flags.seed,
                    run.configurationBytes,
                    flags.set);
            run.play();
            final long disks = 8L * run.segmentBytes * flags.cores;
            final List<Figure> figures = ScaleFigures.of(run, heap() - before - disks);
            if (flags.real > 0) {
                figures.addAll(ScaleProcesses.run(flags.real, Path.of("target", "fleet", "real-" + flags.seed)));
            }
            print(run, figures);
            broken = run.judge.judge.tallies().values().stream()
                    .mapToInt(t -> (int) t.violations)
                    .sum();
            if (flags.out != null) {
                ScaleFile.write(flags.out, ScaleFile.head(run), figures);
                System.out.println("figures=" + flags.out);
            }
        }
        return broken == 0 ? 0 : 1;
    }

    private static long heap() {
        System.gc();
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static void print(final ScaleRun run, final List<Figure> figures) throws IOException {
        final Map<String, Double> by =
                figures.stream().collect(Collectors.toMap(Figure::name, Figure::value, (a, b) -> a));
        for (final Phase phase : Phase.values()) {
            if (!by.containsKey(phase + ".fleet.spanS")) {
                continue;
            }
            System.out.printf("%n%s, %.1f s, a node and second:%n", phase, by.get(phase + ".fleet.spanS"));
            System.out.println(
                    "| role | notes in | out | bytes in | out | in district | between districts | between regions"
                            + " | core share | busiest | proof ms p50 | p99 | most |");
            System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
            for (final String role : List.of("core", "edge")) {
                final String at = phase + "." + role + ".";
                System.out.printf(
                        "| %s | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f | %.0f | %.4f | %.4f | %.0f | %.0f | %.0f |%n",
                        role,
                        get(by, at + "notesIn"),
                        get(by, at + "notesOut"),
                        get(by, at + "bytesIn"),
                        get(by, at + "bytesOut"),
                        get(by, at + "bytesOut.DISTRICT"),
                        get(by, at + "bytesOut.DISTRICTS"),
                        get(by, at + "bytesOut.REGIONS"),
                        get(by, at + "cpu"),
                        get(by, at + "cpuBusiest"),
                        get(by, at + "proofMsP50"),
                        get(by, at + "proofMsP99"),
                        get(by, at + "proofMsMax"));
            }
            for (final String role : List.of("core", "edge")) {
                most(figures, phase, role, "bytesOut");
                most(figures, phase, role, "cpu");
            }
        }
        System.out.println();
        figures.stream()
                .filter(f -> f.phase().equals("END")
                        || f.phase().equals("REAL")
                        || f.role().equals("fleet")
                        || f.role().equals("edge")
                                && (f.what().startsWith("word") || f.what().startsWith("denied")))
                .filter(f -> !f.role().equals("rule"))
                .forEach(f -> System.out.printf("%s=%.5g%n", f.name(), f.value()));
        run.judge.judge.tallies().forEach((rule, t) -> {
            if (t.checks > 0) {
                System.out.printf(
                        "rule=%s verdict=%s checks=%d violations=%d worst=%.2f what=\"%s\"%n",
                        rule, t.violations > 0 ? "broken" : "kept", t.checks, t.violations, t.worstShare, t.worstCase);
            }
        });
        System.out.printf(
                "run=%s up=%s virtualS=%.1f wallS=%d digest=%x%n",
                run.whole() ? "whole" : "partial", run.kinds(), run.steps.nowMs() / 1000.0, run.wallS(), run.digest());
    }

    private static double get(final Map<String, Double> by, final String name) {
        return by.getOrDefault(name, 0.0);
    }

    private static void most(final List<Figure> figures, final Phase phase, final String role, final String what) {
        System.out.println(role + " " + what + " by kind: "
                + figures.stream()
                        .filter(f -> f.phase().equals(phase.name())
                                && f.role().equals(role)
                                && f.what().equals(what)
                                && !f.kind().equals(Figure.ALL)
                                && f.distance().equals(Figure.ALL))
                        .sorted(Comparator.comparingDouble(Figure::value).reversed())
                        .limit(KINDS_TOLD)
                        .map(f -> f.kind() + String.format("=%.4g", f.value()))
                        .collect(Collectors.joining(" ")));
    }
}
