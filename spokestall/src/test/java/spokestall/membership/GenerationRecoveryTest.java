package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;

/** Tests new generations in simulated fleets that have lost the disks of a majority. */
class GenerationRecoveryTest {
    private static final int RANDOM_FLEETS = 60;
    private static final int SLOW_FLEETS = 10;
    private static final int INTERRUPTED_FLEETS = 20;

    /** Starts a fleet in which cores c0 to c5 vote. */
    private static MembershipTestFleet sixCores(final long seed) {
        final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 6, 2, 1);
        fleet.startAll();
        fleet.run(15_000);
        return fleet;
    }

    private static void forFirstThreeCores(final MembershipTestFleet fleet, final Consumer<MembershipTestNode> action) {
        for (int i = 0; i < 3; i++) {
            action.accept(fleet.node("c" + i));
        }
    }

    /** Random cores, up to all of them, lose their disks or stop, while cores with new names start. */
    @Test
    void aGenerationHasOnlyOneSuccessorWhileVotersAreAdded() {
        int recovered = 0;
        for (int seed = 0; seed < RANDOM_FLEETS; seed++) {
            final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 2 + seed % 4, 2, 1);
            fleet.startAll();
            fleet.run(8000);
            fleet.messageLoss = 0.1 * (seed % 4);
            for (int i = 0; i < 4; i++) {
                final MembershipTestNode joining = fleet.addCore("n" + i);
                fleet.clock.after(fleet.random.nextInt(8000), joining::start);
            }
            for (int times = 0; times < 2; times++) {
                fleet.clock.after(times * 5000 + fleet.random.nextInt(5000), () -> loseSomeCores(fleet));
            }
            fleet.runFor(14_000);
            fleet.messageLoss = 0;
            fleet.runFor(25_000);
            final String description = seed + " " + fleet.describe() + " " + fleet.startedGenerations;
            assertThat(fleet.startedGenerations.values())
                    .as(description)
                    .allSatisfy(following -> assertThat(following).hasSize(1));
            assertThat(fleet.allCoresVote()).as(description).isTrue();
            recovered += fleet.startedGenerations.size() > 1 ? 1 : 0;
        }
        assertThat(recovered).isGreaterThan(20);
    }

    private static void loseSomeCores(final MembershipTestFleet fleet) {
        final List<MembershipTestNode> cores = new ArrayList<>(fleet.cores());
        Collections.shuffle(cores, fleet.random);
        for (final MembershipTestNode core : cores.subList(0, 1 + fleet.random.nextInt(cores.size()))) {
            if (fleet.random.nextInt(4) > 0) {
                core.wipe();
            } else {
                core.stop();
            }
            fleet.clock.after(fleet.random.nextInt(4000), () -> {
                if (!core.up) {
                    core.start();
                }
            });
        }
    }

    private static void assertMergedFromAllWithState(final MembershipTestFleet fleet, final int seed) {
        final long first = fleet.startedGenerations.get(0L).iterator().next();
        assertThat(fleet.startedGenerations.get(first)).as(fleet.describe()).hasSize(1);
        final long second = fleet.startedGenerations.get(first).iterator().next();
        assertThat(fleet.mergedStateSources.get(second)).as("seed " + seed).containsExactlyInAnyOrder("c3", "c4", "c5");
        assertThat(fleet.allCoresVote()).as(fleet.describe()).isTrue();
    }

    /** Half of the disks are lost and the other half are slow, but the recovery merges the state of each slow disk. */
    @Test
    void recoveryWaitsForACoreWithStateWhoseDiskIsSlow() {
        for (int seed = 0; seed < SLOW_FLEETS; seed++) {
            final MembershipTestFleet fleet = sixCores(seed);
            for (int i = 0; i < 3; i++) {
                fleet.node("c" + i).wipe();
                fleet.node("c" + (i + 3)).slowDisk(700 + 150 * i);
            }
            fleet.runFor(1000);
            forFirstThreeCores(fleet, MembershipTestNode::start);
            fleet.runFor(30_000);
            assertMergedFromAllWithState(fleet, seed);
        }
    }

    /** The proposer stops after other cores have promised and resigned, and the next proposer needs their state. */
    @Test
    void anInterruptedRecoveryMergesAllSurvivingState() {
        for (int seed = 0; seed < INTERRUPTED_FLEETS; seed++) {
            final MembershipTestFleet fleet = sixCores(seed);
            forFirstThreeCores(fleet, core -> {
                core.wipe();
                core.start();
            });
            final MembershipTestNode withState = fleet.node("c4");
            while (withState.acceptor.state() != Acceptor.State.RESIGNED && fleet.nowMs() < 40_000) {
                fleet.runFor(5);
            }
            fleet.runFor(fleet.random.nextInt(150));
            forFirstThreeCores(fleet, MembershipTestNode::stop);
            fleet.runFor(fleet.random.nextInt(4000));
            forFirstThreeCores(fleet, MembershipTestNode::start);
            fleet.runFor(20_000);
            assertMergedFromAllWithState(fleet, seed);
        }
    }

    @Test
    void recoveryDoesNotWaitForeverForACoreWithAStalledDisk() {
        final MembershipTestFleet fleet = sixCores(1);
        forFirstThreeCores(fleet, MembershipTestNode::wipe);
        fleet.node("c3").slowDisk(1_000_000);
        fleet.runFor(1000);
        forFirstThreeCores(fleet, MembershipTestNode::start);
        fleet.runFor(30_000);
        assertThat(fleet.startedGenerations).as(fleet.describe()).hasSizeGreaterThan(1);
    }
}
