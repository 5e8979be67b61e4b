package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.configuration.change.ChangeDeadlines;
import spokestall.node.ClientConnections;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;
import spokestall.testbed.fleet.OperatorFleet;

/**
 * Restarts nodes in turn while the configuration changes. Right after an acknowledgement, all nodes lose power and as many cores as
 * the fleet tolerates lose their disks as well. Every node must have all acknowledged changes after it has started again.
 */
class LossAfterRestartsTest {
    private static final int SEEDS = Integer.getInteger("seeds", 12);
    private static final int FIRST_SEED = Integer.getInteger("firstSeed", 1);
    private static final int TOLERATED_LOSS = 2;
    private static final int EDGES = 18;
    private static final int EARLIER_CHANGES = 4;
    private static final long CALL_MS = 950;
    private static final long PAUSE_MS = 150;
    private static final long ACK_MS = 12_000;
    private static final long RECOVERY_MS = 15_000;

    private static final RetriedChange.Caller OPERATOR =
            new RetriedChange.Caller(ChangeDeadlines.of(CALL_MS), CALL_MS + 50, calls -> PAUSE_MS);

    private static Map<String, String> settings() {
        final Map<String, String> settings = new TreeMap<>(OperatorFleet.PLATFORM_SETTINGS);
        settings.put("lossCores", Integer.toString(TOLERATED_LOSS));
        return settings;
    }

    /** Client connections that stay open for a while after a shutdown has begun. */
    private static final class OpenFor implements ClientConnections {
        private final OperatorFleet fleet;
        private final long untilMs;

        OpenFor(final OperatorFleet fleet, final long spanMs) {
            this.fleet = fleet;
            this.untilMs = fleet.nowMs() + spanMs;
        }

        @Override
        public void closeAfterResponses() {}

        @Override
        public void stopAccepting() {}

        @Override
        public void closeIdle() {}

        @Override
        public int open() {
            return fleet.nowMs() < untilMs ? 1 : 0;
        }
    }

    private static final class Play {
        private final Random random;
        private final OperatorFleet fleet;
        private int changes;

        Play(final long seed) {
            random = new Random(seed);
            fleet = new OperatorFleet(seed, Deployment.values()[Math.floorMod(seed, 2)], InjectedFault.NONE, settings())
                    .withEdges(EDGES)
                    .start();
        }

        /** Shuts a node down cleanly, and starts it again shortly after its process has ended. */
        private void restart(final SimulatedNode node) {
            if (!node.isRunning()) {
                return;
            }
            final long incarnation = node.incarnation();
            final OpenFor connections = new OpenFor(fleet, random.nextInt(4000));
            node.run(
                    incarnation,
                    () -> node.node()
                            .shutDown(
                                    connections,
                                    () -> fleet.world.sim.after(1, () -> {
                                        if (node.incarnation() == incarnation) {
                                            node.kill();
                                            fleet.world.sim.after(300 + random.nextInt(2500), node::start);
                                        }
                                    })));
        }

        private void restartInTurn() {
            final List<SimulatedNode> nodes = new ArrayList<>(fleet.nodes());
            Collections.shuffle(nodes, random);
            final int together = 1 + random.nextInt(4);
            final long gapMs = 700L + random.nextInt(1500);
            int coresDown = 0;
            for (int i = 0; i < nodes.size(); i++) {
                final SimulatedNode node = nodes.get(i);
                // Cores are stopped 2.5 s apart, to limit how many are down at the same time.
                final long atMs = node.core ? 2500L * coresDown++ + random.nextInt(500) : gapMs * (i / together);
                fleet.world.sim.after(atMs, () -> restart(node));
            }
        }

        private void change(final Consumer<String> acknowledged) {
            new RetriedChange(fleet, random, "change-" + changes++, OPERATOR, acknowledged).request();
        }

        private void loseDisksAndPower() {
            final List<SimulatedNode> cores = new ArrayList<>(fleet.world.cores());
            Collections.shuffle(cores, random);
            final List<SimulatedNode> wiped = cores.subList(0, TOLERATED_LOSS);
            fleet.nodes().forEach(SimulatedNode::losePower);
            wiped.forEach(core -> core.disk.wipe());
            fleet.nodes().forEach(node -> fleet.world.sim.after(1300 + random.nextInt(300), node::start));
        }

        /** Returns the acknowledged changes that some node lacks after the loss. */
        List<String> play() {
            restartInTurn();
            final List<String> acknowledged = new ArrayList<>();
            for (int i = 0; i < EARLIER_CHANGES; i++) {
                final int before = acknowledged.size();
                change(acknowledged::add);
                fleet.runUntil("a change is acknowledged", ACK_MS, () -> acknowledged.size() > before);
                fleet.run(random.nextInt(4000));
            }
            change(id -> {
                acknowledged.add(id);
                fleet.world.sim.after(random.nextInt(5), this::loseDisksAndPower);
            });
            fleet.runUntil("the last change is acknowledged", ACK_MS, () -> acknowledged.size() > EARLIER_CHANGES);
            fleet.run(RECOVERY_MS);
            fleet.awaitFresh();
            return acknowledged.stream().filter(this::isMissingSomewhere).toList();
        }

        private boolean isMissingSomewhere(final String id) {
            return fleet.nodes().stream()
                    .map(node -> node.node()
                            .configurationStore()
                            .configuration()
                            .tree()
                            .toString())
                    .anyMatch(tree -> !tree.contains("/more/" + id + "\""));
        }
    }

    @Test
    void acknowledgedChangesSurviveTheLossOfTwoDisksAndAllPower() {
        final List<String> bad = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            try {
                final List<String> missing = new Play(seed).play();
                if (!missing.isEmpty()) {
                    bad.add("seed " + seed + " lost " + missing);
                }
            } catch (final AssertionError e) {
                bad.add("seed " + seed + ": " + e.getMessage());
            }
        }
        assertThat(bad).isEmpty();
    }
}
