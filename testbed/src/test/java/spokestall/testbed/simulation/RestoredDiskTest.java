package spokestall.testbed.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;
import spokestall.consensus.Voter;
import spokestall.testbed.Deployment;
import spokestall.testbed.fault.InjectedFault;

/** A core whose disk was restored to an older state has lost promises, so it must not vote under its old disk identity. */
class RestoredDiskTest {
    private static final long CATCH_UP_MS = 4000;

    @BeforeAll
    static void quiet() {
        Logger.getLogger("").setLevel(Level.OFF);
    }

    private static SimulatedWorld world(final long seed) {
        final SimulatedWorld world =
                new SimulatedWorld(seed, Deployment.PADMA, false, InjectedFault.NONE, Scenario.CALM, Map.of());
        final SimulatedOperator operator = new SimulatedOperator(world);
        world.nodes.values().forEach(SimulatedNode::start);
        world.sim.after(2000, () -> operator.putInitialConfiguration(() -> {}));
        world.sim.run(12_000);
        for (int i = 0; i < 20; i++) {
            world.sim.after(500L * i, operator::addRoute);
        }
        return world;
    }

    /** Restarts a core with an older copy of its disk, and checks that it votes only under a new disk identity. */
    private static void restartWithOlderDisk(final long seed, final Consumer<SimulatedDisk> damage) {
        final SimulatedWorld world = world(seed);
        final SimulatedNode core = world.pick(world.cores(), world.sim.random("older"));
        final byte[][] older = core.disk.copy();
        world.sim.run(22_000);
        final String before = core.node().acceptor().diskId();
        core.kill();
        core.disk.restore(older);
        damage.accept(core.disk);
        world.sim.run(23_000);
        core.start();
        for (long atMs = 23_000; atMs < 23_000 + CATCH_UP_MS; atMs += 5) {
            world.sim.run(atMs);
            assertThat(core.node().acceptor().diskId().equals(before)
                            && core.node().acceptor().state() == Acceptor.State.VOTING
                            && core.node().votes())
                    .as("seed %s votes under its old disk identity %s ms after its start", seed, atMs - 23_000)
                    .isFalse();
        }
        assertThat(core.node().acceptor().state()).as("seed %s", seed).isEqualTo(Acceptor.State.VOTING);
        final Voter voter = core.node().acceptor().voterSet().voter(core.name);
        assertThat(voter.diskId()).isEqualTo(core.node().acceptor().diskId()).isNotEqualTo(before);
        assertThat(core.node().feedClient().isFresh()).isTrue();
    }

    @Test
    void aCoreWithARestoredDiskGetsANewIdentityBeforeItVotes() {
        for (long seed = 1; seed <= 20; seed++) {
            restartWithOlderDisk(seed, disk -> {});
        }
    }

    @Test
    void aCoreThatIsOnlyRestartedKeepsItsIdentity() {
        for (long seed = 1; seed <= 5; seed++) {
            final SimulatedWorld world = world(seed);
            world.sim.run(22_000);
            final SimulatedNode core = world.pick(world.cores(), world.sim.random("older"));
            final String before = core.node().acceptor().diskId();
            core.losePower();
            world.sim.run(23_000);
            core.start();
            world.sim.run(23_000 + CATCH_UP_MS);
            assertThat(core.node().acceptor().diskId()).isEqualTo(before);
            assertThat(core.node().acceptor().state()).isEqualTo(Acceptor.State.VOTING);
        }
    }
}
