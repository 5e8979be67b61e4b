package spokestall.testbed.scale;

import java.util.List;
import java.util.Random;

/** An ordinary day pressed together: restarts, machines that fail, a zone lost, a region parted. */
final class ScaleDay {
    private static final long DOWN_MS = 1000;
    private final ScaleRun run;
    private final Random chance;

    ScaleDay(final ScaleRun run, final Random chance) {
        this.run = run;
        this.chance = chance;
    }

    void play(final long spanMs) {
        final ScaleFlags flags = run.shape.flags;
        final List<ScaleNode> edges = run.nodes.stream().filter(n -> !n.core).toList();
        final int restarts = Math.max(1, flags.nodes / 40);
        for (int i = 0; i < restarts; i++) {
            final ScaleNode node = edges.get(chance.nextInt(edges.size()));
            at(spanMs * i / restarts / 4, () -> down(node, DOWN_MS));
        }
        at(spanMs / 8, () -> down(run.nodes.get(flags.cores - 1), DOWN_MS));
        final int failures = Math.max(1, flags.nodes / 128);
        for (int i = 0; i < failures; i++) {
            final ScaleNode node = edges.get(chance.nextInt(edges.size()));
            at(spanMs / 4 + i * 50L, () -> down(node, spanMs * 5 / 8));
        }
        final int replaced = Math.max(1, flags.upstreams / 100);
        for (int i = 0; i < replaced; i++) {
            final int up = chance.nextInt(flags.upstreams);
            at(spanMs * i / replaced, () -> run.outside.replace(up));
        }
        final int lost = 1 % flags.zones;
        at(
                spanMs * 4 / 10,
                () -> run.nodes.stream().filter(n -> n.zone == lost).forEach(n -> down(n, spanMs * 2 / 10)));
        final int region = flags.regions - 1;
        at(spanMs * 7 / 10, () -> run.net.part(region, flags.regions > 1));
        at(spanMs * 9 / 10, () -> run.net.part(region, false));
    }

    private void down(final ScaleNode node, final long spanMs) {
        node.kill();
        at(spanMs, node::start);
    }

    private void at(final long waitMs, final Runnable what) {
        run.steps.byWorld(SteppedTime.WORLD, waitMs, what);
    }
}
