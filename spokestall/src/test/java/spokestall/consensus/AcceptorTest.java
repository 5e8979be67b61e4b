package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.storage.InMemorySegmentStore;
import spokestall.storage.SegmentStore;
import spokestall.storage.SegmentedLog;

/** State transitions of an acceptor, and the conditions under which it votes. */
class AcceptorTest {
    /** Guard of an acceptor whose node keeps a snapshot of the decided versions. */
    private static final class SnapshotGuard extends PermissiveGuard {
        private long syncedSnapshotVersion;

        @Override
        public boolean hasSnapshotUpTo(final long versionFloor) {
            return syncedSnapshotVersion >= versionFloor;
        }
    }

    private static SegmentStore disk() {
        return new InMemorySegmentStore(8, 1 << 14);
    }

    private static VoterSet voterSet(final int voters) {
        final List<Voter> all = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            all.add(new Voter("v" + i, "v" + i, "disk-" + i));
        }
        return new VoterSet(3, 4, all);
    }

    private static Acceptor open(final SegmentStore disk) {
        return new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, new PermissiveGuard(), "disk-0");
    }

    private static Acceptor newVoter() {
        return open(disk());
    }

    @Test
    void aNewVoterVotesOnlyAfterCatchingUpFromAnIntersectingQuorum() {
        for (int voters = 2; voters <= VoterSet.VOTERS_MAX; voters++) {
            final VoterSet voterSet = voterSet(voters);
            assertThat(voterSet.intersectingQuorum() + voterSet.majority()).isGreaterThan(voters);
            assertThat(voterSet(voters + 1).intersectingQuorum()).isGreaterThanOrEqualTo(voterSet.intersectingQuorum());
            final Acceptor acceptor = newVoter();
            acceptor.updateVoterSet(voterSet);
            for (int i = 1; i <= voterSet.intersectingQuorum(); i++) {
                assertThat(acceptor.state()).as("%s of %s", i, voters).isEqualTo(Acceptor.State.CATCHING_UP);
                final ConsensusMessage.CatchUpResponse response =
                        new ConsensusMessage.CatchUpResponse("v" + i, 3, 4, "", List.of(), true, 0);
                acceptor.onMessage(response, "v0");
                acceptor.onMessage(response, "v0");
                acceptor.onMessage(
                        new ConsensusMessage.CatchUpResponse("v" + (i + 1), 3, 3, "", List.of(), true, 0), "v0");
            }
            assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        }
    }

    private static ConsensusMessage.CatchUpResponse emptyLastPage(final String name, final long versionFloor) {
        return new ConsensusMessage.CatchUpResponse(name, 3, 4, "", List.of(), true, versionFloor);
    }

    @Test
    void aNewVoterAdoptsTheHighestVersionFloorOfItsQuorumAndKeepsItAfterARestart() {
        final SegmentStore disk = disk();
        final Acceptor acceptor = open(disk);
        acceptor.updateVoterSet(voterSet(5));
        acceptor.onMessage(emptyLastPage("v1", 7), "v0");
        acceptor.onMessage(emptyLastPage("v2", 40), "v0");
        acceptor.onMessage(emptyLastPage("v3", 0), "v0");
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(acceptor.versionFloor()).isEqualTo(40);
        final Acceptor restarted =
                new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, new PermissiveGuard(), "other");
        assertThat(restarted.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(restarted.versionFloor()).isEqualTo(40);
    }

    @Test
    void aNewVoterDoesNotVoteUntilItsSnapshotCoversAllPrunedVersions() {
        final SnapshotGuard guard = new SnapshotGuard();
        guard.syncedSnapshotVersion = 39;
        final Acceptor acceptor = new Acceptor("v0", new SegmentedLog(disk()), (to, message) -> {}, guard, "disk-0");
        acceptor.updateVoterSet(voterSet(5));
        acceptor.onMessage(emptyLastPage("v1", 7), "v0");
        acceptor.onMessage(emptyLastPage("v2", 40), "v0");
        acceptor.onMessage(emptyLastPage("v3", 0), "v0");
        acceptor.onTick("v0");
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.CATCHING_UP);
        guard.syncedSnapshotVersion = 40;
        acceptor.onTick("v0");
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
    }

    @Test
    void theRetentionFloorKeepsTheNewestVersionAndObeysTheVersionAndByteLimits() {
        final TreeMap<String, Register> registers = new TreeMap<>();
        for (int version = 1; version <= 100; version++) {
            final byte[] value = new byte[version == 90 ? 5000 : 10];
            registers.put(
                    ConfigurationKeys.keyOf(version), new Register(ProposalNumber.NONE, ProposalNumber.NONE, value));
        }
        assertThat(ConfigurationKeys.retentionFloor(registers, 100, 1024, 1 << 20))
                .isZero();
        assertThat(ConfigurationKeys.retentionFloor(registers, 100, 30, 1 << 20))
                .isEqualTo(70);
        assertThat(ConfigurationKeys.retentionFloor(registers, 100, 1024, 1000)).isEqualTo(90);
        assertThat(ConfigurationKeys.retentionFloor(registers, 90, 1024, 1000)).isEqualTo(89);
        assertThat(ConfigurationKeys.keysUpTo(registers, 89)).hasSize(89).doesNotContain(ConfigurationKeys.keyOf(90));
    }

    @Test
    void aResignedVoterDoesNotVoteInLaterEpochsOfItsGeneration() {
        final Acceptor acceptor = newVoter();
        acceptor.startGeneration(voterSet(3), List.of());
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        acceptor.resign(3);
        acceptor.updateVoterSet(voterSet(3).withAddedVoter(new Voter("new", "new", "x")));
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
        acceptor.startGenerationLate(voterSet(3), List.of());
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
        acceptor.updateVoterSet(new VoterSet(9, 1, voterSet(3).voters()));
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.CATCHING_UP);
    }

    @Test
    void aVoterThatResignsWhileItsVoterSetIsBeingWrittenStaysResigned() {
        final PausableSegmentStore disk = new PausableSegmentStore();
        final Acceptor acceptor = open(disk);
        acceptor.startGeneration(voterSet(3), List.of());
        disk.pause();
        acceptor.updateVoterSet(voterSet(3).withAddedVoter(new Voter("new", "new", "x")));
        acceptor.resign(3);
        disk.completePending();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
    }

    @Test
    void aResignedVoterDoesNotCatchUpInALaterEpoch() {
        final PausableSegmentStore disk = new PausableSegmentStore();
        final Acceptor acceptor = open(disk);
        acceptor.startGeneration(voterSet(3), List.of());
        acceptor.resign(3);
        disk.pause();
        acceptor.updateVoterSet(voterSet(3).withAddedVoter(new Voter("new", "new", "x")));
        for (int i = 1; i < 3; i++) {
            acceptor.onMessage(new ConsensusMessage.CatchUpResponse("v" + i, 3, 5, "", List.of(), true, 0), "v0");
        }
        disk.completePending();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
        assertThat(acceptor.hasStateOnDisk()).isTrue();
        assertThat(acceptor.hasState()).isFalse();
    }

    /**
     * Guards against a deadlock of two new voters: each has caught up when the voter set that adds the other one arrives. If that
     * voter set made them catch up again, each would wait forever for pages that the other one doesn't send before it votes.
     */
    @Test
    void aCaughtUpVoterThatReceivesAVoterSetVotesOnceTheVoterSetIsSynced() {
        final PausableSegmentStore disk = new PausableSegmentStore();
        final Acceptor acceptor = open(disk);
        acceptor.updateVoterSet(voterSet(3));
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.CATCHING_UP);
        disk.pause();
        for (int i = 1; i < 3; i++) {
            acceptor.onMessage(new ConsensusMessage.CatchUpResponse("v" + i, 3, 4, "", List.of(), true, 0), "v0");
        }
        acceptor.updateVoterSet(voterSet(3).withAddedVoter(new Voter("new", "new", "x")));
        assertThat(acceptor.state()).as("before the voter set is synced").isEqualTo(Acceptor.State.CATCHING_UP);
        disk.completePending();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
    }
}
