package spokestall.testbed.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spokestall.testbed.Deployment;
import spokestall.testbed.fleet.Fleet;

/** Real processes with real asks: what an ask costs an edge and a core, at several rates. */
final class ScaleProcesses {
    private static final int[] RATES = {40, 160, 320};
    private static final int SECONDS = 10;

    private ScaleProcesses() {}

    static List<Figure> run(final int processes, final Path folder) throws Exception {
        final List<Figure> found = new ArrayList<>();
        try (Fleet fleet =
                new Fleet(Deployment.PADMA, folder.resolve("" + System.currentTimeMillis()), processes / 2, 0)) {
            fleet.start();
            fleet.awaitReady(fleet.putConfiguration());
            fleet.startLoadGenerator(SECONDS, 0).waitFor();
            for (final int rate : RATES) {
                final Map<String, Long> before = spent(fleet);
                final Path record = fleet.folder().resolve("rate-" + rate);
                System.out.println("real rate=" + rate);
                fleet.startLoadGenerator(SECONDS, 0, rate, record).waitFor();
                final Map<String, Long> after = spent(fleet);
                for (final boolean core : new boolean[] {true, false}) {
                    final double us = fleet.members().values().stream()
                            .filter(m -> m.core == core)
                            .mapToDouble(m -> (after.get(m.name) - before.get(m.name)) / 1000.0)
                            .average()
                            .orElse(0);
                    found.add(new Figure(
                            "REAL", core ? "core" : "edge", "cpu", "at" + rate, Figure.ALL, us / 1e6 / SECONDS));
                    found.add(new Figure(
                            "REAL", core ? "core" : "edge", "asks", "at" + rate, Figure.ALL, rate / (processes / 2.0)));
                }
            }
            for (final boolean core : new boolean[] {true, false}) {
                found.add(new Figure(
                        "REAL",
                        core ? "core" : "edge",
                        "residentBytes",
                        Figure.ALL,
                        Figure.ALL,
                        fleet.members().values().stream()
                                .filter(m -> m.core == core)
                                .mapToLong(m -> resident(m.process.pid()))
                                .average()
                                .orElse(0)));
            }
            fleet.stopAll();
        }
        return found;
    }

    private static Map<String, Long> spent(final Fleet fleet) {
        final Map<String, Long> found = new LinkedHashMap<>();
        fleet.members()
                .forEach((name, m) -> found.put(
                        name,
                        m.process
                                .info()
                                .totalCpuDuration()
                                .orElse(Duration.ZERO)
                                .toNanos()));
        return found;
    }

    private static long resident(final long pid) {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(pid), "status")).stream()
                    .filter(l -> l.startsWith("VmRSS"))
                    .mapToLong(l -> 1024 * Long.parseLong(l.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (final IOException e) {
            return 0;
        }
    }
}
