package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.message.Message;
import spokestall.storage.InMemorySegmentStore;
import spokestall.storage.SegmentedLog;
import spokestall.time.Clock;

/**
 * Guards against a second decision for a version. A voter that forgets its version floor, on a replaced disk or after a restart,
 * would treat a pruned register as a new one and accept another value for it.
 */
class VersionFloorTest {
    private static final int VOTERS = 6;
    private static final long NEWEST_VERSION = 40;
    private static final long VERSION_FLOOR = 30;
    private static final byte[] DECIDED_VALUE = {1};
    private static final byte[] OTHER_VALUE = {2};

    /** A voter and its disk. Its guard reports versions up to its version floor as pruned. */
    private final class VoterNode extends PermissiveGuard {
        private final String name;
        private InMemorySegmentStore disk = new InMemorySegmentStore(8, 1 << 14);
        private Acceptor acceptor;

        VoterNode(final String name) {
            this.name = name;
        }

        void start(final String freshId) {
            acceptor = new Acceptor(name, new SegmentedLog(disk), VersionFloorTest.this::send, this, freshId);
        }

        @Override
        public boolean isPruned(final String key) {
            final long version = ConfigurationKeys.versionOf(key);
            return version >= 0 && version <= acceptor.versionFloor();
        }
    }

    private record Envelope(String to, Message message) {}

    private record Timer(long atMs, Runnable task) {}

    private final Map<String, VoterNode> voterNodes = new TreeMap<>();
    private final ArrayDeque<Envelope> inFlight = new ArrayDeque<>();
    private final List<Timer> timers = new ArrayList<>();
    private final Clock clock = new Clock() {
        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }

        @Override
        public void after(final long waitMs, final Runnable event) {
            timers.add(new Timer(nowMs + waitMs, event));
        }
    };
    private final Proposer proposer = new Proposer(
            "late#1", "late", this::send, clock, new Random(1), new Proposer.Timing(100, 10, 1000), (voter, key) -> {});
    private VoterSet voterSet;
    private long nowMs;

    private void send(final String to, final Message message) {
        inFlight.add(new Envelope(to, message));
    }

    private void run(final long spanMs) {
        for (final long untilMs = nowMs + spanMs; nowMs < untilMs; nowMs++) {
            deliver();
            final List<Timer> due = timers.stream().filter(t -> t.atMs <= nowMs).toList();
            timers.removeAll(due);
            due.forEach(t -> t.task.run());
        }
        deliver();
    }

    private void deliver() {
        while (!inFlight.isEmpty()) {
            final Envelope sent = inFlight.poll();
            if (sent.to.equals("late")) {
                proposer.onMessage((ConsensusMessage) sent.message);
            } else {
                voterNodes.get(sent.to).acceptor.onMessage((ConsensusMessage) sent.message, sent.to);
            }
        }
    }

    /** Starts six voters that decide {@link #NEWEST_VERSION} versions and prune those up to {@link #VERSION_FLOOR}. */
    private void startVotersThatPrunedVersions() {
        final List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < VOTERS; i++) {
            final String name = "v" + i;
            voters.add(new Voter(name, name, "disk-" + i));
            voterNodes.put(name, new VoterNode(name));
            voterNodes.get(name).start("disk-" + i);
        }
        voterSet = new VoterSet(1, 1, voters);
        voterNodes.values().forEach(m -> m.acceptor.startGeneration(voterSet, List.of()));
        proposer.updateVoterSet(voterSet);
        for (long version = 1; version <= NEWEST_VERSION; version++) {
            assertThat(propose(version, DECIDED_VALUE)).isInstanceOf(ProposalOutcome.Committed.class);
        }
        voterNodes
                .values()
                .forEach(m -> m.acceptor.raiseVersionFloor(
                        VERSION_FLOOR,
                        () -> ConfigurationKeys.keysUpTo(m.acceptor.registers(), VERSION_FLOOR)
                                .forEach(m.acceptor::removeRegister)));
    }

    private ProposalOutcome propose(final long version, final byte[] value) {
        final List<ProposalOutcome> outcomes = new ArrayList<>();
        proposer.propose(
                ConfigurationKeys.keyOf(version),
                500,
                current -> current == null ? new RegisterEdit.Set(value) : RegisterEdit.LEAVE,
                outcomes::add);
        run(700);
        return outcomes.get(0);
    }

    private void replaceDisk(final int i) {
        final VoterNode voterNode = voterNodes.get("v" + i);
        voterNode.disk = new InMemorySegmentStore(8, 1 << 14);
        voterNode.start("disk-" + i + "-new");
        voterSet = voterSet.withReplacedDisk(new Voter(voterNode.name, voterNode.name, voterNode.acceptor.diskId()));
        voterNodes.values().forEach(m -> m.acceptor.updateVoterSet(voterSet));
        for (int tick = 0; tick < 10; tick++) {
            voterNode.acceptor.onTick(voterNode.name);
            run(1);
        }
        assertThat(voterNode.acceptor.state()).isEqualTo(Acceptor.State.VOTING);
    }

    private void assertNoDecidedVersionChanges() {
        proposer.updateVoterSet(voterSet);
        for (long version = 1; version <= VERSION_FLOOR; version++) {
            assertThat(propose(version, OTHER_VALUE))
                    .as("version %s", version)
                    .isInstanceOf(ProposalOutcome.Pruned.class);
        }
        for (long version = VERSION_FLOOR + 1; version <= NEWEST_VERSION; version++) {
            assertThat(propose(version, OTHER_VALUE))
                    .as("version %s", version)
                    .isInstanceOfSatisfying(
                            ProposalOutcome.Committed.class,
                            done -> assertThat(done.value()).isEqualTo(DECIDED_VALUE));
        }
    }

    @Test
    void noDecidedVersionChangesAfterEachVotersDiskIsReplaced() {
        startVotersThatPrunedVersions();
        for (int i = 0; i < VOTERS; i++) {
            replaceDisk(i);
        }
        assertNoDecidedVersionChanges();
    }

    @Test
    void noDecidedVersionChangesAfterAllVotersRestart() {
        startVotersThatPrunedVersions();
        voterNodes.values().forEach(m -> m.start("not used"));
        assertNoDecidedVersionChanges();
    }
}
