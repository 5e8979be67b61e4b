package spokestall.membership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;

/** Tests changes of single voters in simulated fleets that keep a majority. */
class ReconfigurationTest {
    private static final int RANDOM_FLEETS = 40;

    private static long parseNumber(final byte[] value) {
        return value == null ? 0 : Long.parseLong(new String(value, UTF_8));
    }

    private static MembershipTestFleet startedFleet(final int cores, final int edges) {
        final MembershipTestFleet fleet = MembershipTestFleet.fleet(1, cores, edges, 1);
        fleet.startAll();
        fleet.run(15_000);
        return fleet;
    }

    /** Cores join with new names and lose disks while edges increment a counter. */
    @Test
    void committedIncrementsSurviveWhileVotersAreAddedAndReplaced() {
        long increments = 0;
        for (int seed = 0; seed < RANDOM_FLEETS; seed++) {
            final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 2 + seed % 3, 2, 1);
            fleet.startAll();
            fleet.run(8000);
            assertThat(fleet.allCoresVote()).as(seed + " " + fleet.describe()).isTrue();
            fleet.messageLoss = 0.05 * (seed % 4);
            final List<Long> confirmed = new ArrayList<>();
            scheduleIncrements(fleet, confirmed);
            for (int i = 0; i < 5; i++) {
                final MembershipTestNode joining = fleet.addCore("n" + i);
                fleet.clock.after(fleet.random.nextInt(12_000), joining::start);
            }
            for (int i = 0; i < 3; i++) {
                fleet.clock.after(14_000 + i * 6000, () -> wipeOneDisk(fleet));
            }
            fleet.runFor(32_000);
            fleet.messageLoss = 0;
            fleet.runFor(8000);
            assertThat(fleet.allCoresVote()).as(seed + " " + fleet.describe()).isTrue();
            assertThat(fleet.startedGenerations).as(seed + " one generation").hasSize(1);
            assertThat(confirmed)
                    .as("each increment commits a different number, seed " + seed)
                    .doesNotHaveDuplicates();
            increments += confirmed.size();
        }
        assertThat(increments).isGreaterThan(2000);
    }

    private static void scheduleIncrements(final MembershipTestFleet fleet, final List<Long> confirmed) {
        for (int at = 0; at < 30_000; at += 350) {
            final MembershipTestNode proposing = fleet.node("e" + fleet.random.nextInt(2));
            fleet.clock.after(at, () -> increment(proposing, confirmed));
        }
    }

    private static void increment(final MembershipTestNode proposing, final List<Long> confirmed) {
        final long highest = confirmed.stream().mapToLong(Long::longValue).max().orElse(0);
        proposing.proposer.propose(
                "count",
                2500,
                current -> new RegisterEdit.Set(
                        Long.toString(parseNumber(current) + 1).getBytes(UTF_8)),
                outcome -> {
                    if (outcome instanceof ProposalOutcome.Committed done && done.wrote()) {
                        assertThat(parseNumber(done.value())).isGreaterThan(highest);
                        confirmed.add(parseNumber(done.value()));
                    }
                });
    }

    /** Wipes a disk only if all cores vote, so that a majority with state remains. */
    private static void wipeOneDisk(final MembershipTestFleet fleet) {
        final List<MembershipTestNode> cores = fleet.cores();
        final MembershipTestNode core = cores.get(fleet.random.nextInt(cores.size()));
        if (fleet.allCoresVote() && cores.size() > 2) {
            core.wipe();
            fleet.clock.after(500, core::start);
        }
    }

    @Test
    void aCoreUnderANewNameVotesWithinASecondOfReceivingTheVoterSet() {
        final MembershipTestFleet fleet = startedFleet(3, 1);
        final MembershipTestNode joining = fleet.addCore("n0");
        joining.start();
        long receivedMillis = -1;
        while (joining.acceptor.state() != Acceptor.State.VOTING && fleet.nowMs() < 25_000) {
            fleet.runFor(10);
            receivedMillis = receivedMillis < 0 && joining.proposer.voterSet() != null ? fleet.nowMs() : receivedMillis;
        }
        assertThat(receivedMillis).isPositive();
        assertThat(fleet.nowMs() - receivedMillis).isLessThan(1000);
    }

    /** Six cores are removed one after another. After each removal, a blank core with another name and address starts. */
    @Test
    void coresReplacedAfterTheirRemovalLeaveNoExtraVoter() {
        final MembershipTestFleet fleet = startedFleet(6, 2);
        for (int i = 0; i < 6; i++) {
            fleet.node("c" + i).removeForGood();
            fleet.runFor(1000);
            fleet.addCore("n" + i).start();
            fleet.runFor(4000);
            assertThat(fleet.allCoresVote()).as(i + " " + fleet.describe()).isTrue();
            assertThat(fleet.newestVoterSet().voters()).hasSize(6);
        }
        assertThat(fleet.startedGenerations).hasSize(1);
    }

    /** Each new core starts before the old one is removed, which adds one voter slot in total and not one per core. */
    @Test
    void coresReplacedAfterTheirSuccessorsStartedLeaveOneExtraVoter() {
        final MembershipTestFleet fleet = startedFleet(6, 2);
        for (int i = 0; i < 6; i++) {
            fleet.addCore("n" + i).start();
            fleet.runFor(4000);
            assertThat(fleet.allCoresVote()).as(i + " " + fleet.describe()).isTrue();
            fleet.node("c" + i).removeForGood();
            fleet.runFor(4000);
            assertThat(fleet.newestVoterSet().voters()).hasSize(7);
        }
        assertThat(fleet.startedGenerations).hasSize(1);
    }

    @Test
    void aLongSilentVoterIsRemovedAndItsOldDiskNeverVotesAgain() {
        final MembershipTestFleet fleet = startedFleet(6, 2);
        final MembershipTestNode away = fleet.node("c2");
        final String disk = away.acceptor.diskId();
        away.stop();
        fleet.runFor(28_000);
        assertThat(fleet.newestVoterSet().voters())
                .as("before the removal timeout")
                .hasSize(6);
        fleet.runFor(6000);
        assertThat(fleet.newestVoterSet().voters()).hasSize(5);
        assertThat(fleet.newestVoterSet().voter("c2")).isNull();
        away.start();
        fleet.runFor(4000);
        assertThat(fleet.allCoresVote()).as(fleet.describe()).isTrue();
        assertThat(fleet.newestVoterSet().voter("c2").diskId())
                .isEqualTo(away.acceptor.diskId())
                .isNotEqualTo(disk);
    }

    /** If only one node could fail, one of the four voters could be removed, but c0 and c3 are in the same region. */
    @Test
    void noVoterIsRemovedIfTheToleratedLossCouldThenTakeTheMajority() {
        final MembershipTestFleet fleet = MembershipTestFleet.fleet(1, 4, 2, 1);
        fleet.wholeRegionMayFail = true;
        fleet.startAll();
        fleet.run(15_000);
        fleet.node("c1").stop();
        fleet.runFor(60_000);
        assertThat(fleet.newestVoterSet().voters()).hasSize(4);
    }
}
