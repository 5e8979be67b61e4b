package spokestall.testbed.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** Lines through the figures of runs of several sizes, and what they come to at the size that is aimed at. */
final class ScaleFit {
    /** What a figure grows by: nothing, the size, or its square. */
    enum Shape {
        CONST,
        LINE,
        SQUARE
    }

    /** A figure as base + slope x size^power; off is the worst distance of a measured one, as a share of it. */
    record Line(Shape shape, double base, double slope, double off) {
        double at(final double size) {
            return base + slope * grown(shape, size);
        }
    }

    private ScaleFit() {}

    /** How large a run was; a rate is an edge's. */
    private static double size(final ScaleFile file, final String by) {
        final double size = file.run().path(by).asDouble();
        return by.equals("rate")
                ? size
                        / (file.run().path("nodes").asDouble()
                                - file.run().path("cores").asDouble())
                : size;
    }

    private static double grown(final Shape shape, final double size) {
        return shape == Shape.CONST ? 0 : shape == Shape.LINE ? size : size * size;
    }

    static int run(final ScaleFlags flags) throws IOException {
        final List<ScaleFile> files = new ArrayList<>();
        for (final String file : flags.fit) {
            files.add(ScaleFile.read(Path.of(file)));
        }
        files.sort(Comparator.comparingDouble(f -> size(f, flags.by)));
        final double aim = switch (flags.by) {
            case "upstreams" -> ScaleFlags.AIM_UPSTREAMS;
            case "tenants" -> ScaleFlags.AIM_TENANTS;
            case "rate" -> (double) ScaleFlags.AIM_RATE / ScaleFlags.AIM_EDGES;
            default -> ScaleFlags.AIM_NODES;
        };
        final TreeSet<String> names = new TreeSet<>();
        files.forEach(f -> names.addAll(f.figures().keySet()));
        System.out.printf(
                "%s of the runs: %s; aimed at: %.0f%n",
                flags.by,
                files.stream()
                        .map(f -> String.format("%.4g", size(f, flags.by))
                                + (f.run().path("whole").asBoolean() ? "" : " (partial)"))
                        .toList(),
                aim);
        System.out.println("| figure | measured | shape | base | slope | worst off | at the aim |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        for (final String name : names) {
            if (!name.contains(flags.only)) {
                continue;
            }
            final List<ScaleFile> of =
                    files.stream().filter(f -> f.figures().containsKey(name)).toList();
            final double[] x = of.stream().mapToDouble(f -> size(f, flags.by)).toArray();
            final double[] y =
                    of.stream().mapToDouble(f -> f.figures().get(name)).toArray();
            if (y.length < 3 || Arrays.stream(y).allMatch(v -> v == 0)) {
                continue;
            }
            final Line line = best(x, y);
            System.out.printf(
                    "| %s | %s | %s | %.4g | %.4g | %.0f%% | %.4g |%n",
                    name,
                    Arrays.stream(y).mapToObj(v -> String.format("%.4g", v)).toList(),
                    line.shape,
                    line.base,
                    line.slope,
                    100 * line.off,
                    line.at(aim));
        }
        return 0;
    }

    /** The shape whose worst distance is least. Lines are weighed so that each size counts by its own share. */
    static Line best(final double[] x, final double[] y) {
        Line best = null;
        for (final Shape shape : Shape.values()) {
            final Line line = line(shape, x, y);
            if (best == null || line.off < 0.7 * best.off && best.off > 0.02) {
                best = line;
            }
        }
        return best;
    }

    private static Line line(final Shape shape, final double[] x, final double[] y) {
        double w = 0;
        double gx = 0;
        double gy = 0;
        double gxx = 0;
        double gxy = 0;
        for (int i = 0; i < x.length; i++) {
            final double g = grown(shape, x[i]);
            final double weight = y[i] == 0 ? 1 : 1 / (y[i] * y[i]);
            w += weight;
            gx += weight * g;
            gy += weight * y[i];
            gxx += weight * g * g;
            gxy += weight * g * y[i];
        }
        final double apart = w * gxx - gx * gx;
        final double slope = shape == Shape.CONST || apart <= 0 ? 0 : (w * gxy - gx * gy) / apart;
        final double base = (gy - slope * gx) / w;
        double off = 0;
        for (int i = 0; i < x.length; i++) {
            final double told = base + slope * grown(shape, x[i]);
            off = Math.max(off, y[i] == 0 ? Math.abs(told) > 1e-9 ? 1 : 0 : Math.abs(told - y[i]) / Math.abs(y[i]));
        }
        return new Line(shape, base, slope, off);
    }
}
