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

    private static VoterSet table(final int seats) {
        final List<Voter> all = new ArrayList<>();
        for (int i = 0; i < seats; i++) {
            all.add(new Voter("v" + i, "v" + i, "disk-" + i));
        }
        return new VoterSet(3, 4, all);
    }

    private static Acceptor joiner() {
        return new Acceptor("v0", new SegmentedLog(disk()), (to, note) -> {}, OPEN, "disk-0");
    }

    @Test
    void aJoinerVotesOnlyOnceItHasReadFromSoManyThatEveryMajorityIsMet() {
        for (int seats = 2; seats <= VoterSet.SEATS_MAX; seats++) {
            final VoterSet table = table(seats);
            assertThat(table.meeting() + table.majority()).isGreaterThan(seats);
            assertThat(table(seats + 1).meeting()).isGreaterThanOrEqualTo(table.meeting());
            final Acceptor voter = joiner();
            voter.adopt(table);
            for (int i = 1; i <= table.meeting(); i++) {
                assertThat(voter.state()).as("%s of %s", i, seats).isEqualTo(Acceptor.State.CATCHING_UP);
                final ConsensusMessage.CatchBack back =
                        new ConsensusMessage.CatchBack("v" + i, 3, 4, "", List.of(), true, 0);
                voter.hear(back, "v0");
                voter.hear(back, "v0");
                voter.hear(new ConsensusMessage.CatchBack("v" + (i + 1), 3, 3, "", List.of(), true, 0), "v0");
            }
            assertThat(voter.state()).isEqualTo(Acceptor.State.VOTING);
        }
    }

    private static ConsensusMessage.CatchBack allOf(final String name, final long floor) {
        return new ConsensusMessage.CatchBack(name, 3, 4, "", List.of(), true, floor);
    }

    @Test
    void aJoinerTakesTheHighestFloorOfThoseThatItReadFromAndKeepsItThroughARestart() {
        final SegmentStore disk = disk();
        final Acceptor voter = new Acceptor("v0", new SegmentedLog(disk), (to, note) -> {}, OPEN, "disk-0");
        voter.adopt(table(5));
        voter.hear(allOf("v1", 7), "v0");
        voter.hear(allOf("v2", 40), "v0");
        voter.hear(allOf("v3", 0), "v0");
        assertThat(voter.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(voter.floor()).isEqualTo(40);
        final Acceptor again = new Acceptor("v0", new SegmentedLog(disk), (to, note) -> {}, OPEN, "other");
        assertThat(again.state()).isEqualTo(Acceptor.State.VOTING);
        assertThat(again.floor()).isEqualTo(40);
    }

    @Test
    void aJoinerDoesNotVoteBeforeWhatTheOthersLetGoIsOnItsOwnDisk() {
        final AtomicLong snapshotDown = new AtomicLong(39);
        final Acceptor voter =
                new Acceptor("v0", new SegmentedLog(disk()), (to, note) -> {}, new Holding(snapshotDown), "disk-0");
        voter.adopt(table(5));
        voter.hear(allOf("v1", 7), "v0");
        voter.hear(allOf("v2", 40), "v0");
        voter.hear(allOf("v3", 0), "v0");
        voter.tick("v0");
        assertThat(voter.state()).isEqualTo(Acceptor.State.CATCHING_UP);
        snapshotDown.set(40);
        voter.tick("v0");
        assertThat(voter.state()).isEqualTo(Acceptor.State.VOTING);
    }

    @Test
    void theFloorLeavesTheNewestVersionAndNoMoreThanSoManyBytes() {
        final TreeMap<String, Register> registers = new TreeMap<>();
        for (int version = 1; version <= 100; version++) {
            final byte[] value = new byte[version == 90 ? 5000 : 10];
            registers.put(
                    ConfigurationKeys.key(version), new Register(ProposalNumber.NONE, ProposalNumber.NONE, value));
        }
        assertThat(ConfigurationKeys.floor(registers, 100, 1024, 1 << 20)).isZero();
        assertThat(ConfigurationKeys.floor(registers, 100, 30, 1 << 20)).isEqualTo(70);
        assertThat(ConfigurationKeys.floor(registers, 100, 1024, 1000)).isEqualTo(90);
        assertThat(ConfigurationKeys.floor(registers, 90, 1024, 1000)).isEqualTo(89);
        assertThat(ConfigurationKeys.upTo(registers, 89)).hasSize(89).doesNotContain(ConfigurationKeys.key(90));
    }

    @Test
    void whoResignedFromAGenerationVotesInNoneOfItsEpochs() {
        final Acceptor voter = joiner();
        voter.found(table(3), List.of());
        assertThat(voter.state()).isEqualTo(Acceptor.State.VOTING);
        voter.resign(3);
        voter.adopt(table(3).add(new Voter("new", "new", "x")));
        assertThat(voter.state()).isEqualTo(Acceptor.State.RESIGNED);
        voter.foundLate(table(3), List.of());
        assertThat(voter.state()).isEqualTo(Acceptor.State.RESIGNED);
        voter.adopt(new VoterSet(9, 1, table(3).seats()));
        assertThat(voter.state()).isEqualTo(Acceptor.State.CATCHING_UP);
    }

    /** A disk whose writes are down when the test says so. */
    private static final class Held extends InMemorySegmentStore {
        private final List<Runnable> held = new ArrayList<>();
        private boolean holds;

        Held() {
            super(8, 1 << 14);
        }

        @Override
        public void commit(final List<Piece> pieces, final Consumer<Boolean> done) {
            held.add(() -> super.commit(pieces, done));
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
        final Acceptor voter = new Acceptor("v0", new SegmentedLog(disk), (to, note) -> {}, OPEN, "disk-0");
        voter.found(table(3), List.of());
        disk.holds = true;
        voter.adopt(table(3).add(new Voter("new", "new", "x")));
        voter.resign(3);
        disk.letGo();
        assertThat(voter.state()).isEqualTo(Acceptor.State.RESIGNED);
    }

    @Test
    void whoResignedCatchesUpInNoLaterEpoch() {
        final Held disk = new Held();
        final Acceptor voter = new Acceptor("v0", new SegmentedLog(disk), (to, note) -> {}, OPEN, "disk-0");
        voter.found(table(3), List.of());
        voter.resign(3);
        disk.holds = true;
        voter.adopt(table(3).add(new Voter("new", "new", "x")));
        for (int i = 1; i < 3; i++) {
            voter.hear(new ConsensusMessage.CatchBack("v" + i, 3, 5, "", List.of(), true, 0), "v0");
        }
        disk.letGo();
        assertThat(voter.state()).isEqualTo(Acceptor.State.RESIGNED);
        assertThat(voter.keepsState()).isTrue();
        assertThat(voter.hasState()).isFalse();
    }

    /** Two joiners that each had caught up as the other's table came would wait for each other's votes for ever. */
    @Test
    void whoHasCaughtUpAsATableComesVotesOnceItIsDown() {
        final Held disk = new Held();
        final Acceptor voter = new Acceptor("v0", new SegmentedLog(disk), (to, note) -> {}, OPEN, "disk-0");
        voter.adopt(table(3));
        assertThat(voter.state()).isEqualTo(Acceptor.State.CATCHING_UP);
        disk.holds = true;
        for (int i = 1; i < 3; i++) {
            voter.hear(new ConsensusMessage.CatchBack("v" + i, 3, 4, "", List.of(), true, 0), "v0");
        }
        voter.adopt(table(3).add(new Voter("new", "new", "x")));
        assertThat(voter.state()).as("before the table is down").isEqualTo(Acceptor.State.CATCHING_UP);
        disk.letGo();
        assertThat(voter.state()).isEqualTo(Acceptor.State.VOTING);
    }
}
