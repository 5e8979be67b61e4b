package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.storage.InMemorySegmentStore;
import spokestall.storage.SegmentStore;
import spokestall.storage.SegmentedLog;

class AcceptorTest {
    private static final RegisterGuard OPEN = new RegisterGuard() {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean gone(final String key) {
            return false;
        }

        @Override
        public boolean room(final String key) {
            return true;
        }

        @Override
        public boolean takes(final String key, final byte[] value) {
            return true;
        }
    };

    /** Keeps what versions decided in a snapshot of its own. */
    private record Holding(AtomicLong snapshotDown) implements RegisterGuard {
        @Override
        public boolean holds(final long floor) {
            return snapshotDown.get() >= floor;
        }

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean gone(final String key) {
            return false;
        }

        @Override
        public boolean room(final String key) {
            return true;
        }

        @Override
        public boolean takes(final String key, final byte[] value) {
            return true;
        }
    }

    private static SegmentStore disk() {
        return new InMemorySegmentStore(8, 1 << 14);
    }

    private static VoterSet table(final int voters) {
        final List<Voter> all = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            all.add(new Voter("v" + i, "v" + i, "disk-" + i));
        }
        return new VoterSet(3, 4, all);
    }

    private static Acceptor joiner() {
        return new Acceptor("v0", new SegmentedLog(disk()), (to, message) -> {}, OPEN, "disk-0");
    }

    @Test
    void aJoinerVotesOnlyOnceItHasReadFromSoManyThatEveryMajorityIsMet() {
        for (int voters = 2; voters <= VoterSet.VOTERS_MAX; voters++) {
            final VoterSet table = table(voters);
            assertThat(table.meeting() + table.majority()).isGreaterThan(voters);
            assertThat(table(voters + 1).meeting()).isGreaterThanOrEqualTo(table.meeting());
            final Acceptor acceptor = joiner();
            acceptor.adopt(table);
            for (int i = 1; i <= table.meeting(); i++) {
                assertThat(acceptor.state()).as("%s of %s", i, voters).isEqualTo(Acceptor.State.CATCHING_UP);
                final ConsensusMessage.CatchUpResponse back =
                        new ConsensusMessage.CatchUpResponse("v" + i, 3, 4, "", List.of(), true, 0);
                acceptor.hear(back, "v0");
                acceptor.hear(back, "v0");
                acceptor.hear(new ConsensusMessage.CatchUpResponse("v" + (i + 1), 3, 3, "", List.of(), true, 0), "v0");
            }
            assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        }
    }

    private static ConsensusMessage.CatchUpResponse allOf(final String name, final long floor) {
        return new ConsensusMessage.CatchUpResponse(name, 3, 4, "", List.of(), true, floor);
    }

    @Test
    void aJoinerTakesTheHighestFloorOfThoseThatItReadFromAndKeepsItThroughARestart() {
        final SegmentStore disk = disk();
        final Acceptor acceptor = new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, OPEN, "disk-0");
        acceptor.adopt(table(5));
        acceptor.hear(allOf("v1", 7), "v0");
        acceptor.hear(allOf("v2", 40), "v0");
        acceptor.hear(allOf("v3", 0), "v0");
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(acceptor.floor()).isEqualTo(40);
        final Acceptor again = new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, OPEN, "other");
        assertThat(again.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(again.floor()).isEqualTo(40);
    }

    @Test
    void aJoinerDoesNotVoteBeforeWhatTheOthersLetGoIsOnItsOwnDisk() {
        final AtomicLong snapshotDown = new AtomicLong(39);
        final Acceptor acceptor =
                new Acceptor("v0", new SegmentedLog(disk()), (to, message) -> {}, new Holding(snapshotDown), "disk-0");
        acceptor.adopt(table(5));
        acceptor.hear(allOf("v1", 7), "v0");
        acceptor.hear(allOf("v2", 40), "v0");
        acceptor.hear(allOf("v3", 0), "v0");
        acceptor.tick("v0");
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.CATCHING_UP);
        snapshotDown.set(40);
        acceptor.tick("v0");
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
    }

    @Test
    void theFloorLeavesTheNewestVersionAndNoMoreThanSoManyBytes() {
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
    void whoResignedFromAGenerationVotesInNoneOfItsEpochs() {
        final Acceptor acceptor = joiner();
        acceptor.found(table(3), List.of());
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
        acceptor.resign(3);
        acceptor.adopt(table(3).add(new Voter("new", "new", "x")));
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
        acceptor.foundLate(table(3), List.of());
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
        acceptor.adopt(new VoterSet(9, 1, table(3).voters()));
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.CATCHING_UP);
    }

    /** A disk whose writes are down when the test says so. */
    private static final class Held extends InMemorySegmentStore {
        private final List<Runnable> held = new ArrayList<>();
        private boolean holds;

        Held() {
            super(8, 1 << 14);
        }

        @Override
        public void commit(final List<Chunk> chunks, final Consumer<Boolean> done) {
            held.add(() -> super.commit(chunks, done));
            if (!holds) {
                letGo();
            }
        }

        void letGo() {
            while (!held.isEmpty()) {
                held.remove(0).run();
            }
        }
    }

    @Test
    void whoResignsWhileATableIsOnItsWayToTheDiskStaysResigned() {
        final Held disk = new Held();
        final Acceptor acceptor = new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, OPEN, "disk-0");
        acceptor.found(table(3), List.of());
        disk.holds = true;
        acceptor.adopt(table(3).add(new Voter("new", "new", "x")));
        acceptor.resign(3);
        disk.letGo();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
    }

    @Test
    void whoResignedCatchesUpInNoLaterEpoch() {
        final Held disk = new Held();
        final Acceptor acceptor = new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, OPEN, "disk-0");
        acceptor.found(table(3), List.of());
        acceptor.resign(3);
        disk.holds = true;
        acceptor.adopt(table(3).add(new Voter("new", "new", "x")));
        for (int i = 1; i < 3; i++) {
            acceptor.hear(new ConsensusMessage.CatchUpResponse("v" + i, 3, 5, "", List.of(), true, 0), "v0");
        }
        disk.letGo();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.RESIGNED);
        assertThat(acceptor.keepsState()).isTrue();
        assertThat(acceptor.hasState()).isFalse();
    }

    /** Two joiners that each had caught up as the other's table came would wait for each other's votes for ever. */
    @Test
    void whoHasCaughtUpAsATableComesVotesOnceItIsDown() {
        final Held disk = new Held();
        final Acceptor acceptor = new Acceptor("v0", new SegmentedLog(disk), (to, message) -> {}, OPEN, "disk-0");
        acceptor.adopt(table(3));
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.CATCHING_UP);
        disk.holds = true;
        for (int i = 1; i < 3; i++) {
            acceptor.hear(new ConsensusMessage.CatchUpResponse("v" + i, 3, 4, "", List.of(), true, 0), "v0");
        }
        acceptor.adopt(table(3).add(new Voter("new", "new", "x")));
        assertThat(acceptor.state()).as("before the table is down").isEqualTo(Acceptor.State.CATCHING_UP);
        disk.letGo();
        assertThat(acceptor.state()).isEqualTo(Acceptor.State.VOTING);
    }
}
