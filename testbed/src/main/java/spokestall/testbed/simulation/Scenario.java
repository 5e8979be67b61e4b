package spokestall.testbed.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spokestall.message.MessageCodec;
import spokestall.testbed.Deployment;
import spokestall.testbed.standin.UpstreamStandIn;

/** The brief's failures, each as a script that is played while asks flow; MIXED plays several at random. */
public enum Scenario {
    CALM {
        @Override
        void play(final SimulationRun run) {
            run.operator.bind();
        }
    },
    UPSTREAM_CRASH {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 3000L, () -> run.world.outside.stop(run.any(run.world.outside.running())));
            }
        }
    },
    ROLLING {
        @Override
        void play(final SimulationRun run) {
            final List<SimulatedEnvironment.Up> all = run.world.outside.running();
            for (int i = 0; i < 12; i++) {
                final SimulatedEnvironment.Up old = all.get(i * 3);
                run.later(i * 2000L, () -> run.drain(old, true));
            }
        }
    },
    ADDRESS_PASSED {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 3000L, () -> run.pass(run.any(run.world.outside.running())));
            }
        }
    },
    COLD_RETURN {
        @Override
        void play(final SimulationRun run) {
            run.world.clients.rate(3 * run.world.deployment.ratePerS);
            for (final SimulatedEnvironment.Up old : run.world.outside.running()) {
                if (old.service.equals(run.world.deployment.largeService)) {
                    run.world.outside.stop(old);
                    old.listed = false;
                    run.later(4000, () -> run.world.outside.replace(old));
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
                    final SimulatedEnvironment.Up up = run.any(run.world.outside.running());
                    up.manner = all[1 + run.random.nextInt(all.length - 1)];
                    run.later(5000, () -> up.manner = UpstreamStandIn.Behavior.WELL);
                });
            }
        }
    },
    BROWNOUT {
        @Override
        void play(final SimulationRun run) {
            for (final SimulatedEnvironment.Up up : run.world.outside.running()) {
                if (up.service.equals(run.world.deployment.smallService)) {
                    up.manner = UpstreamStandIn.Behavior.FLAKY;
                    run.later(12_000, () -> up.manner = UpstreamStandIn.Behavior.WELL);
                } else if (run.random.nextInt(3) == 0) {
                    up.manner =
                            run.random.nextBoolean() ? UpstreamStandIn.Behavior.LOSE : UpstreamStandIn.Behavior.SLOW;
                    run.later(12_000, () -> up.manner = UpstreamStandIn.Behavior.WELL);
                }
            }
        }
    },
    NODE_KILLS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 4000L, () -> run.bounce(run.any(run.nodes()), 3000, false));
            }
        }
    },
    HOLDER_KILLS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 4; i++) {
                run.later(i * 8000 + run.random.nextInt(2000), () -> {
                    final SimulatedNode holder = run.world.holder();
                    if (holder != null) {
                        run.bounce(holder, 5000, false);
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
                    run.world.inZone(zone).forEach(n -> run.bounce(n, 6000, true));
                });
            }
        }
    },
    REGION_KILL {
        @Override
        void play(final SimulationRun run) {
            final String region = Deployment.region(run.random.nextInt(6));
            run.world.inRegion(region).forEach(n -> run.bounce(n, 15_000, true));
            run.operator.bind();
        }
    },
    RESTART_IN_TURN {
        @Override
        void play(final SimulationRun run) {
            int i = 0;
            for (final SimulatedNode node : run.nodes()) {
                run.later(i++ * 2500L, () -> run.bounce(node, 1000, false));
            }
        }
    },
    UPGRADE {
        @Override
        void play(final SimulationRun run) {
            // Nodes that send the older form are restarted one by one to send the newer one.
            int i = 0;
            for (final SimulatedNode node : run.nodes()) {
                run.later(i++ * 2400L, () -> {
                    node.set("noteVersion", Integer.toString(MessageCodec.CURRENT_VERSION));
                    run.bounce(node, 1000, false);
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
            // What an operator of a fleet over dear wires sets: no probes, few proofs, counts that hold nothing back.
            final List<SimulatedEnvironment.Up> all = run.world.outside.running();
            for (int i = 0; i < 8; i++) {
                final SimulatedEnvironment.Up old = all.get(i * 4);
                run.later(i * 3000L, () -> run.drain(old, true));
            }
            run.operator.bind();
            run.operator.withdraw(3, 8000);
            run.operator.hold(Deployment.zone(run.random.nextInt(6)), 8000);
            run.later(9000, () -> run.bounce(run.any(run.world.cores()), 3000, true));
            run.later(16_000, () -> {
                if (run.world.holder() != null) {
                    run.bounce(run.world.holder(), 3000, true);
                }
            });
            run.later(22_000, () -> run.bounce(run.any(run.world.edges()), 3000, false));
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
            // Three cores, none of them a seed, come back one after another at other addresses, with their disks.
            int i = 0;
            for (final String name : List.of("d2-core", "d4-core", "d6-core")) {
                final SimulatedNode core = run.world.nodes.get(name);
                run.later(i++ * 9000L, () -> {
                    run.disturb(List.of(core), 9000);
                    run.world.move(core, "10.0.5." + name.charAt(1) + ":7100");
                    run.later(1000, core::start);
                });
            }
            run.later(28_000, run.operator::bind);
        }
    },
    UNKNOWN {
        @Override
        void play(final SimulationRun run) {
            // Nobody was told how many there are. A seed came late, a core joined after the founding; now a disk goes,
            // a core
            // under a new name comes, and a seed is restarted.
            run.later(1000, () -> run.loseDisk(run.world.nodes.get("d4-core"), 2000));
            run.later(9000, () -> run.grow("d2-core2", 7));
            run.later(14_000, () -> run.bounce(run.world.nodes.get("d3-edge"), 1000, false));
            run.later(18_000, () -> run.loseDisk(run.world.nodes.get("d2-core2"), 2000));
            run.later(24_000, run.operator::bind);
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
            // Upstreams take twice the usual demand, and ten times as much comes.
            for (final SimulatedEnvironment.Up up : run.world.outside.running()) {
                up.eachMs = 1000L * run.world.outside.running().size() / (2L * run.world.deployment.ratePerS);
            }
            run.world.clients.rate(10 * run.world.deployment.ratePerS);
            run.later(12_000, () -> run.world.clients.rate(run.world.deployment.ratePerS));
        }
    },
    SEEDS_DEAD {
        @Override
        void play(final SimulationRun run) {
            // Two of the three seeds are away; every edge, and a core, must find the fleet by the third alone.
            run.world.nodes.get("d1-core").kill();
            run.world.nodes.get("d3-core").kill();
            run.disturb(run.nodes(), run.playMs());
            int i = 1;
            for (final SimulatedNode edge : run.world.edges()) {
                run.later(i++ * 2500L, () -> run.bounce(edge, 1000, false));
            }
            run.later(i * 2500L, () -> run.bounce(run.world.nodes.get("d6-core"), 1000, true));
        }
    },
    RESTART_ALL {
        @Override
        void play(final SimulationRun run) {
            run.nodes().forEach(n -> run.bounce(n, 2000, true));
        }
    },
    BLINK {
        @Override
        void play(final SimulationRun run) {
            // All power goes for a moment just after a window was reported.
            final long nowMs = run.world.sim.nowMs();
            final long waitMs =
                    2 * SimulatedWorld.WINDOW_MS - nowMs % SimulatedWorld.WINDOW_MS + 2000 + run.random.nextInt(500);
            run.later(waitMs, () -> {
                run.nodes().forEach(n -> run.bounce(n, 300, true));
            });
        }
    },
    DISK_LOST {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 3; i++) {
                run.later(i * 9000L, () -> run.loseDisk(run.any(run.world.cores()), 2000));
            }
        }
    },
    DISKS_LOST {
        @Override
        void play(final SimulationRun run) {
            run.wiped = true;
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
                    final SimulatedNode holder = run.world.holder();
                    final SimulatedNode node =
                            holder != null && run.random.nextBoolean() ? holder : run.any(run.nodes());
                    run.freeze(node, 500 + run.random.nextInt(9000));
                });
            }
            run.operator.withdraw(5, 15_000);
        }
    },
    FREEZE_AT_SEND {
        @Override
        void play(final SimulationRun run) {
            run.world.gapShare = 0.001;
            run.world.gapMs = 6500;
            run.operator.withdraw(5, 15_000);
            run.later(run.playMs() - 1000, () -> run.world.gapShare = 0);
        }
    },
    CLAIMS_FULL {
        @Override
        void play(final SimulationRun run) {
            run.world.clients.rate(4 * run.world.deployment.ratePerS);
            run.later(15_000, () -> run.world.clients.rate(run.world.deployment.ratePerS));
            run.later(6000, run.operator::bind);
            run.later(12_000, run.operator::bind);
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
                    final SimulatedNode core = run.any(run.world.cores());
                    core.disk.slow(100);
                    core.disk.stall(1000 + run.random.nextInt(5000));
                    run.later(8000, () -> core.disk.slow(2));
                });
            }
            run.operator.bind();
        }
    },
    DISK_FAILS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 2; i++) {
                run.later(i * 6000L, () -> run.any(run.world.cores()).disk.fail(true));
            }
        }
    },
    CLOCK_JUMPS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 6; i++) {
                run.later(i * 4000L, () -> {
                    final SimulatedNode node = run.any(run.nodes());
                    node.jump((run.random.nextBoolean() ? 1 : -1) * 3_600_000L * (1 + run.random.nextInt(5)));
                    if (run.random.nextBoolean()) {
                        run.bounce(node, 1000, false);
                    }
                });
            }
        }
    },
    CUTS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 4; i++) {
                run.later(i * 7000L, () -> run.cut(5000));
            }
            final List<SimulatedNode> lone = List.of(run.any(run.world.edges()));
            run.disturb(lone, 18_000);
            run.world.part(lone, run.nodes(), true);
            run.later(12_000, () -> run.world.part(lone, run.nodes(), false));
            run.operator.withdraw(1, 20_000);
            run.operator.bind();
        }
    },
    SPLIT {
        @Override
        void play(final SimulationRun run) {
            final List<SimulatedNode> all = new ArrayList<>(run.nodes());
            java.util.Collections.shuffle(all, run.random);
            final int at = 3 + run.random.nextInt(7);
            run.disturb(all, 12_000);
            run.world.part(all.subList(0, at), all.subList(at, all.size()), true);
            run.later(10_000, () -> run.world.net.heal());
            run.operator.race();
        }
    },
    LOSSY {
        @Override
        void play(final SimulationRun run) {
            for (final SimulatedNode node : run.nodes()) {
                run.world.net.loss(node.address, 0.05 + 0.1 * run.random.nextDouble());
                run.world.net.slow(node.address, run.random.nextInt(30));
            }
            run.disturb(run.nodes(), 22_000);
            run.later(20_000, () -> run.world.net.heal());
            run.operator.race();
        }
    },
    OPERATORS {
        @Override
        void play(final SimulationRun run) {
            for (int i = 0; i < 10; i++) {
                run.later(i * 2000L, () -> {
                    run.operator.race();
                    run.operator.wrong();
                });
            }
            run.operator.grow(3000);
            run.operator.withdraw(3, 8000);
            run.operator.hold(Deployment.zone(run.random.nextInt(6)), 10_000);
            run.later(2000, () -> run.world.inZone("d3").forEach(n -> run.bounce(n, 5000, true)));
        }
    },
    LONG {
        @Override
        void play(final SimulationRun run) {
            // An hour, with a failure every minute or so; every table's size is printed each ten minutes.
            for (long at = 5000; at < playMs() - 60_000; at += 30_000 + run.random.nextInt(90_000)) {
                run.later(at, run::anything);
            }
            for (long at = 0; at <= playMs(); at += 600_000) {
                run.later(at, () -> System.out.println(run.sizes()));
            }
        }

        @Override
        long playMs() {
            return 3_600_000;
        }

        @Override
        int segmentBytes() {
            // The product's own size: ten minutes of claims don't fit into the small disks of the short runs.
            return 8 << 20;
        }
    },
    MIXED {
        @Override
        void play(final SimulationRun run) {
            for (long at = 0; at < run.playMs(); at += 1500 + run.random.nextInt(2500)) {
                run.later(at, () -> run.anything());
            }
        }
    };

    abstract void play(SimulationRun run);

    /** How long it is played. */
    long playMs() {
        return 30_000;
    }

    /** When a node is first started. */
    long startMs(final SimulatedNode node, final Random random) {
        return random.nextInt(1500);
    }

    /** All that a sweep runs: every one but the long one. */
    public static List<Scenario> sweep() {
        return Arrays.stream(values()).filter(s -> s != LONG).toList();
    }

    /** Settings that this scenario needs. */
    Map<String, String> settings() {
        return Map.of();
    }

    /** The size of the disks' files. */
    int segmentBytes() {
        return 1 << 20;
    }
}
