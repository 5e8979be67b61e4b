package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spokestall.message.MessageCodec;
import spokestall.testbed.Deployment;
import spokestall.testbed.standin.UpstreamStandIn;

/** Failure scenarios, played while clients send requests. MIXED injects several failures at random. */
public enum Scenario {
    CALM {
        @Override
        void play(final SimulationRun run) {
            run.operator.addRoute();
        }
    },
    UPSTREAM_CRASH {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 3000L, () -> run.world.environment.stop(run.pick(run.world.environment.running())));
            }
        }
    },
    ROLLING {
        @Override
        void play(final SimulationRun run) {
            final List<SimulatedEnvironment.Upstream> all = run.world.environment.running();
            for (int i = 0; i < 12; i++) {
                final SimulatedEnvironment.Upstream old = all.get(i * 3);
                run.later(i * 2000L, () -> run.drain(old, true));
            }
        }
    },
    ADDRESS_PASSED {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 3000L, () -> run.reassignAddress(run.pick(run.world.environment.running())));
            }
        }
    },
    COLD_RETURN {
        @Override
        void play(final SimulationRun run) {
            run.world.clients.rate(3 * run.world.deployment.ratePerS);
            for (final SimulatedEnvironment.Upstream old : run.world.environment.running()) {
                if (old.service.equals(run.world.deployment.largeService)) {
                    run.world.environment.stop(old);
                    old.listed = false;
                    run.later(4000, () -> run.world.environment.replace(old));
                }
            }
            run.later(16_000, () -> run.world.clients.rate(run.world.deployment.ratePerS));
        }
    },
    BAD_ANSWERS {
        @Override
        void play(final SimulationRun run) {
            final UpstreamStandIn.Behavior[] all = UpstreamStandIn.Behavior.values();
            for (int i = 0; i < 8; i++) {
                run.later(i * 2500L, () -> {
                    final SimulatedEnvironment.Upstream up = run.pick(run.world.environment.running());
                    up.behavior = all[1 + run.random.nextInt(all.length - 1)];
                    run.later(5000, () -> up.behavior = UpstreamStandIn.Behavior.WELL);
                });
            }
        }
    },
    BROWNOUT {
        @Override
        void play(final SimulationRun run) {
            for (final SimulatedEnvironment.Upstream up : run.world.environment.running()) {
                if (up.service.equals(run.world.deployment.smallService)) {
                    up.behavior = UpstreamStandIn.Behavior.FLAKY;
                    run.later(12_000, () -> up.behavior = UpstreamStandIn.Behavior.WELL);
                } else if (run.random.nextInt(3) == 0) {
                    up.behavior =
                            run.random.nextBoolean() ? UpstreamStandIn.Behavior.LOSE : UpstreamStandIn.Behavior.SLOW;
                    run.later(12_000, () -> up.behavior = UpstreamStandIn.Behavior.WELL);
                }
            }
        }
    },
    NODE_KILLS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 4000L, () -> run.restart(run.pick(run.nodes()), 3000, false));
            }
        }
    },
    HOLDER_KILLS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 4; i++) {
                run.later(i * 8000 + run.random.nextInt(2000), () -> {
                    final SimulatedNode holder = run.world.leaseHolder();
                    if (holder != null) {
                        run.restart(holder, 5000, false);
                    }
                });
            }
        }
    },
    DISTRICT_POWER {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 3; i++) {
                run.later(i * 10_000L, () -> {
                    final String zone = Deployment.zone(run.random.nextInt(6));
                    run.world.inZone(zone).forEach(n -> run.restart(n, 6000, true));
                });
            }
        }
    },
    REGION_KILL {
        @Override
        void play(final SimulationRun run) {
            final String region = Deployment.region(run.random.nextInt(6));
            run.world.inRegion(region).forEach(n -> run.restart(n, 15_000, true));
            run.operator.addRoute();
        }
    },
    RESTART_IN_TURN {
        @Override
        void play(final SimulationRun run) {
            int i = 0;
            for (final SimulatedNode node : run.nodes()) {
                run.later(i++ * 2500L, () -> run.restart(node, 1000, false));
            }
        }
    },
    UPGRADE {
        @Override
        void play(final SimulationRun run) {
            // Nodes start with the oldest message version and are restarted one by one with the current version.
            int i = 0;
            for (final SimulatedNode node : run.nodes()) {
                run.later(i++ * 2400L, () -> {
                    node.changeSetting("noteVersion", Integer.toString(MessageCodec.CURRENT_VERSION));
                    run.restart(node, 1000, false);
                });
            }
        }

        @Override
        Map<String, String> settings() {
            return Map.of("noteVersion", Integer.toString(MessageCodec.OLDEST_VERSION));
        }
    },
    SPARING {
        @Override
        void play(final SimulationRun run) {
            // Settings for a fleet with expensive network traffic: no probes, few freshness requests, and usage
            // counts that never keep an edge from starting requests.
            final List<SimulatedEnvironment.Upstream> all = run.world.environment.running();
            for (int i = 0; i < 8; i++) {
                final SimulatedEnvironment.Upstream old = all.get(i * 4);
                run.later(i * 3000L, () -> run.drain(old, true));
            }
            run.operator.addRoute();
            run.operator.withdrawKey(3, 8000);
            run.operator.drainZone(Deployment.zone(run.random.nextInt(6)), 8000);
            run.later(9000, () -> run.restart(run.pick(run.world.cores()), 3000, true));
            run.later(16_000, () -> {
                if (run.world.leaseHolder() != null) {
                    run.restart(run.world.leaseHolder(), 3000, true);
                }
            });
            run.later(22_000, () -> run.restart(run.pick(run.world.edges()), 3000, false));
        }

        @Override
        Map<String, String> settings() {
            return Map.of(
                    "probes",
                    "0",
                    "proofMs",
                    "800",
                    "freshMs",
                    "2000",
                    "countPushMs",
                    "250",
                    "uncountedMs",
                    "0",
                    "listMs",
                    "1000");
        }
    },
    MOVED {
        @Override
        void play(final SimulationRun run) {
            // Three cores that are not seeds restart one after another at new addresses, each with its disk.
            int i = 0;
            for (final String name : List.of("d2-core", "d4-core", "d6-core")) {
                final SimulatedNode core = run.world.nodes.get(name);
                run.later(i++ * 9000L, () -> {
                    run.markDisturbed(List.of(core), 9000);
                    run.world.moveAddress(core, "10.0.5." + name.charAt(1) + ":7100");
                    run.later(1000, core::start);
                });
            }
            run.later(28_000, run.operator::addRoute);
        }
    },
    UNKNOWN {
        @Override
        void play(final SimulationRun run) {
            // No node is configured with the number of cores. One seed started late and one core joined after the
            // bootstrap. Now a core loses its disk, a core with a new name joins, a seed restarts, and the new core
            // loses its disk.
            run.later(1000, () -> run.loseDisk(run.world.nodes.get("d4-core"), 2000));
            run.later(9000, () -> run.addCore("d2-core2", 7));
            run.later(14_000, () -> run.restart(run.world.nodes.get("d3-edge"), 1000, false));
            run.later(18_000, () -> run.loseDisk(run.world.nodes.get("d2-core2"), 2000));
            run.later(24_000, run.operator::addRoute);
        }

        @Override
        Map<String, String> settings() {
            return Map.of("cores", "0", "bootstrap", "1", "seeds", "10.0.1.1:7100,10.0.2.3:7100,10.0.1.5:7100");
        }

        @Override
        long startMs(final SimulatedNode node, final Random random) {
            final long usual = super.startMs(node, random);
            return node.name.equals("d1-core") ? 4000 + usual : node.name.equals("d6-core") ? 12_000 + usual : usual;
        }
    },
    OVERLOAD {
        @Override
        void play(final SimulationRun run) {
            // Upstreams can serve twice the usual demand, and clients send ten times the usual demand.
            for (final SimulatedEnvironment.Upstream up : run.world.environment.running()) {
                up.serviceTimeMs =
                        1000L * run.world.environment.running().size() / (2L * run.world.deployment.ratePerS);
            }
            run.world.clients.rate(10 * run.world.deployment.ratePerS);
            run.later(12_000, () -> run.world.clients.rate(run.world.deployment.ratePerS));
        }
    },
    SEEDS_DEAD {
        @Override
        void play(final SimulationRun run) {
            // Two of the three seeds are down. Every edge and one core restart and must find the fleet through the
            // third.
            run.world.nodes.get("d1-core").kill();
            run.world.nodes.get("d3-core").kill();
            run.markDisturbed(run.nodes(), run.playMs());
            int i = 1;
            for (final SimulatedNode edge : run.world.edges()) {
                run.later(i++ * 2500L, () -> run.restart(edge, 1000, false));
            }
            run.later(i * 2500L, () -> run.restart(run.world.nodes.get("d6-core"), 1000, true));
        }
    },
    RESTART_ALL {
        @Override
        void play(final SimulationRun run) {
            run.nodes().forEach(n -> run.restart(n, 2000, true));
        }
    },
    BLINK {
        @Override
        void play(final SimulationRun run) {
            // All nodes lose power for 300 ms shortly after a usage window was reported.
            final long nowMs = run.world.sim.nowMs();
            final long waitMs =
                    2 * SimulatedWorld.WINDOW_MS - nowMs % SimulatedWorld.WINDOW_MS + 2000 + run.random.nextInt(500);
            run.later(waitMs, () -> {
                run.nodes().forEach(n -> run.restart(n, 300, true));
            });
        }
    },
    DISK_LOST {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 3; i++) {
                run.later(i * 9000L, () -> run.loseDisk(run.pick(run.world.cores()), 2000));
            }
        }
    },
    DISKS_LOST {
        @Override
        void play(final SimulationRun run) {
            run.majorityDisksLost = true;
            final int many = 3 + run.random.nextInt(4);
            final List<SimulatedNode> cores = new ArrayList<>(run.world.cores());
            java.util.Collections.shuffle(cores, run.random);
            cores.subList(0, many).forEach(c -> run.loseDisk(c, 1000 + run.random.nextInt(1000)));
        }
    },
    FREEZE {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 8; i++) {
                run.later(i * 3500L, () -> {
                    final SimulatedNode holder = run.world.leaseHolder();
                    final SimulatedNode node =
                            holder != null && run.random.nextBoolean() ? holder : run.pick(run.nodes());
                    run.freeze(node, 500 + run.random.nextInt(9000));
                });
            }
            run.operator.withdrawKey(5, 15_000);
        }
    },
    FREEZE_AT_SEND {
        @Override
        void play(final SimulationRun run) {
            run.world.freezeProbability = 0.001;
            run.world.freezeMs = 6500;
            run.operator.withdrawKey(5, 15_000);
            run.later(run.playMs() - 1000, () -> run.world.freezeProbability = 0);
        }
    },
    CLAIMS_FULL {
        @Override
        void play(final SimulationRun run) {
            run.world.clients.rate(4 * run.world.deployment.ratePerS);
            run.later(15_000, () -> run.world.clients.rate(run.world.deployment.ratePerS));
            run.later(6000, run.operator::addRoute);
            run.later(12_000, run.operator::addRoute);
        }

        @Override
        Map<String, String> settings() {
            return Map.of("claimKeepMs", "10000");
        }

        @Override
        int segmentBytes() {
            return 128 << 10;
        }
    },
    DISK_STALLS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 4000L, () -> {
                    final SimulatedNode core = run.pick(run.world.cores());
                    core.disk.setLatency(100);
                    core.disk.stall(1000 + run.random.nextInt(5000));
                    run.later(8000, () -> core.disk.setLatency(2));
                });
            }
            run.operator.addRoute();
        }
    },
    DISK_FAILS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 2; i++) {
                run.later(i * 6000L, () -> run.pick(run.world.cores()).disk.setFailing(true));
            }
        }
    },
    CLOCK_JUMPS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 4000L, () -> {
                    final SimulatedNode node = run.pick(run.nodes());
                    node.jumpWallClock((run.random.nextBoolean() ? 1 : -1) * 3_600_000L * (1 + run.random.nextInt(5)));
                    if (run.random.nextBoolean()) {
                        run.restart(node, 1000, false);
                    }
                });
            }
        }
    },
    CUTS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 4; i++) {
                run.later(i * 7000L, () -> run.cutAtRandom(5000));
            }
            final List<SimulatedNode> lone = List.of(run.pick(run.world.edges()));
            run.markDisturbed(lone, 18_000);
            run.world.setPartitioned(lone, run.nodes(), true);
            run.later(12_000, () -> run.world.setPartitioned(lone, run.nodes(), false));
            run.operator.withdrawKey(1, 20_000);
            run.operator.addRoute();
        }
    },
    SPLIT {
        @Override
        void play(final SimulationRun run) {
            final List<SimulatedNode> all = new ArrayList<>(run.nodes());
            java.util.Collections.shuffle(all, run.random);
            final int at = 3 + run.random.nextInt(7);
            run.markDisturbed(all, 12_000);
            run.world.setPartitioned(all.subList(0, at), all.subList(at, all.size()), true);
            run.later(10_000, () -> run.world.net.heal());
            run.operator.raceTwoChanges();
        }
    },
    LOSSY {
        @Override
        void play(final SimulationRun run) {
            for (final SimulatedNode node : run.nodes()) {
                run.world.net.loss(node.address, 0.05 + 0.1 * run.random.nextDouble());
                run.world.net.slow(node.address, run.random.nextInt(30));
            }
            run.markDisturbed(run.nodes(), 22_000);
            run.later(20_000, () -> run.world.net.heal());
            run.operator.raceTwoChanges();
        }
    },
    OPERATORS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 10; i++) {
                run.later(i * 2000L, () -> {
                    run.operator.raceTwoChanges();
                    run.operator.sendInvalidChanges();
                });
            }
            run.operator.addRoutes(3000);
            run.operator.withdrawKey(3, 8000);
            run.operator.drainZone(Deployment.zone(run.random.nextInt(6)), 10_000);
            run.later(2000, () -> run.world.inZone("d3").forEach(n -> run.restart(n, 5000, true)));
        }
    },
    LONG {
        @Override
        void play(final SimulationRun run) {
            // One hour with a failure about every minute. The table sizes are printed every ten minutes.
            for (long at = 5000; at < playMs() - 60_000; at += 30_000 + run.random.nextInt(90_000)) {
                run.later(at, run::injectRandomFailure);
            }
            for (long at = 0; at <= playMs(); at += 600_000) {
                run.later(at, () -> System.out.println(run.tableSizes()));
            }
        }

        @Override
        long playMs() {
            return 3_600_000;
        }

        @Override
        int segmentBytes() {
            // The production size: ten minutes of claims don't fit into the smaller disks of the short runs.
            return 8 << 20;
        }
    },
    MIXED {
        @Override
        void play(final SimulationRun run) {
            for (long at = 0; at < run.playMs(); at += 1500 + run.random.nextInt(2500)) {
                run.later(at, () -> run.injectRandomFailure());
            }
        }
    },
    HELD_UP_REPORTS {
        @Override
        void play(final SimulationRun run) {
            // The holder's link to the platform is cut while it reports, and the holder runs on, freezes or is killed.
            for (long at = 0; at < run.playMs() - 15_000; at += 14_000 + run.random.nextInt(4000)) {
                run.later(at, run::holdUpReport);
            }
        }

        @Override
        long playMs() {
            return 75_000;
        }
    };

    abstract void play(SimulationRun run);

    /** Returns the duration of the scenario, in milliseconds. */
    long playMs() {
        return 30_000;
    }

    /** Returns the virtual time of a node's first start, in milliseconds. */
    long startMs(final SimulatedNode node, final Random random) {
        return random.nextInt(1500);
    }

    /** Returns the scenarios that a sweep runs: all except LONG. */
    public static List<Scenario> sweep() {
        return Arrays.stream(values()).filter(s -> s != LONG).toList();
    }

    /** Returns the node settings that this scenario overrides. */
    Map<String, String> settings() {
        return Map.of();
    }

    /** Returns the size of a disk segment, in bytes. */
    int segmentBytes() {
        return 1 << 20;
    }
}
