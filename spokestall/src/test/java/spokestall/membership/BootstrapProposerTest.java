package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;

/** Tests the first generation in simulated fleets whose number of cores is not configured. */
class BootstrapProposerTest {
    private static final int RANDOM_FLEETS = 200;
    private static final int RESTARTING_FLEETS = 60;

    private static Set<Long> firstGenerations(final MembershipTestFleet fleet) {
        return fleet.startedGenerations.getOrDefault(0L, Set.of());
    }

    /** Nodes start at different times and restart while messages are lost. */
    @Test
    void noFleetHasTwoFirstGenerations() {
        int bootstrapped = 0;
        for (int seed = 0; seed < RANDOM_FLEETS; seed++) {
            final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 1 + seed % 7, 1 + seed % 3, 0.85);
            fleet.messageLoss = 0.1 * (seed % 5);
            startAndRestartAtRandom(fleet);
            fleet.run(12_000);
            fleet.messageLoss = 0;
            fleet.run(30_000);
            assertThat(firstGenerations(fleet))
                    .as(seed + " " + fleet.describe())
                    .hasSizeLessThanOrEqualTo(1);
            if (!fleet.startedGenerations.isEmpty()) {
                assertThat(fleet.allCoresVote())
                        .as(seed + " " + fleet.describe())
                        .isTrue();
                bootstrapped++;
            }
        }
        assertThat(bootstrapped).isGreaterThan(100);
    }

    private static void startAndRestartAtRandom(final MembershipTestFleet fleet) {
        for (final MembershipTestNode node : fleet.nodes.values()) {
            fleet.clock.after(fleet.random.nextInt(fleet.random.nextBoolean() ? 500 : 6000), node::start);
        }
        for (int i = fleet.random.nextInt(5); i > 0; i--) {
            final List<MembershipTestNode> all = List.copyOf(fleet.nodes.values());
            final MembershipTestNode node = all.get(fleet.random.nextInt(all.size()));
            fleet.clock.after(1500 + fleet.random.nextInt(5000), () -> {
                if (node.up) {
                    node.stop();
                    fleet.clock.after(fleet.random.nextInt(800), node::start);
                }
            });
        }
    }

    /**
     * Injects a fault: each restarted incarnation is wrongly configured as first, and edges do not store their votes. The check for
     * two first generations must detect this.
     */
    @Test
    void detectsSeedsThatForgetTheirPromises() {
        int fleetsWithTwoGenerations = 0;
        for (int seed = 0; seed < RESTARTING_FLEETS; seed++) {
            final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 4, 3, 1);
            fleet.seeds.clear();
            fleet.seeds.addAll(List.of("e0", "e1", "e2"));
            fleet.everyIncarnationIsFirst = true;
            fleet.edgeFeedDisabled = true;
            fleet.messageLoss = 0.4;
            fleet.startAll();
            for (int at = 2000; at < 9000; at += 100) {
                final MembershipTestNode edge = fleet.node("e" + fleet.random.nextInt(3));
                fleet.clock.after(at, () -> {
                    edge.stop();
                    edge.start();
                });
            }
            fleet.run(12_000);
            fleetsWithTwoGenerations += firstGenerations(fleet).size() > 1 ? 1 : 0;
        }
        assertThat(fleetsWithTwoGenerations).isPositive();
    }

    /** Cores are wrongly configured as first on each restart, but their disks are no longer blank. */
    @Test
    void aSeedWithADiskVotesInOnlyOneIncarnation() {
        for (int seed = 0; seed < RESTARTING_FLEETS; seed++) {
            final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 5, 1, 1);
            fleet.seeds.clear();
            fleet.seeds.addAll(List.of("c0", "c1", "c2"));
            fleet.everyIncarnationIsFirst = true;
            fleet.messageLoss = 0.4;
            fleet.startAll();
            for (int at = 0; at < 9000; at += 400) {
                final MembershipTestNode core = fleet.node("c" + fleet.random.nextInt(3));
                fleet.clock.after(at + fleet.random.nextInt(400), () -> {
                    core.stop();
                    core.start();
                });
            }
            fleet.run(20_000);
            assertThat(firstGenerations(fleet))
                    .as(seed + " " + fleet.describe())
                    .hasSizeLessThanOrEqualTo(1);
        }
    }

    @Test
    void coresThatAreNotConfiguredAsFirstWaitForAVoterSet() {
        final MembershipTestFleet fleet = MembershipTestFleet.fleet(3, 3, 2, 0);
        fleet.startAll();
        fleet.run(60_000);
        assertThat(fleet.startedGenerations).isEmpty();
        assertThat(fleet.cores()).allMatch(core -> core.acceptor.state() == Acceptor.State.BLANK);
    }
}
