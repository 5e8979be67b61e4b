package spokestall.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import spokestall.message.Message;
import spokestall.storage.DelayedSegmentStore;
import spokestall.storage.SegmentedLog;
import spokestall.time.EventClock;

/** Six voters and some proposers in virtual time, with messages late, lost and doubled, and voters that lose power. */
public final class ConsensusTestContext {
    /** Takes every value and never lets a key go. */
    private static final class Open implements RegisterGuard {
        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public boolean hasCapacityFor(final String key) {
            return true;
        }

        @Override
        public boolean isPruned(final String key) {
            return false;
        }

        @Override
        public boolean accepts(final String key, final byte[] value) {
            return true;
        }
    }

    /** The bench's clock. */
    public final EventClock clock = new EventClock(0);
    /** The bench's chance. */
    public final Random random;

    private final Map<String, Consumer<Message>> ears = new HashMap<>();
    private final List<DelayedSegmentStore> disks = new ArrayList<>();
    private final VoterSet table;
    private final double loss;

    /** Example: {@code new ConsensusTestContext(seed, 0.1)} */
    public ConsensusTestContext(final long seed, final double loss) {
        this.random = new Random(seed);
        this.loss = loss;
        final List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            voters.add(new Voter("v" + i, "v" + i, "disk-" + i));
            disks.add(new DelayedSegmentStore(8, 1 << 16, clock, () -> 1 + random.nextInt(3)));
        }
        table = new VoterSet(1, 1, voters);
        for (int i = 0; i < 6; i++) {
            final Acceptor acceptor = acceptor(i);
            clock.after(0, () -> acceptor.startGeneration(table, List.of()));
        }
        run(100);
    }

    private Acceptor acceptor(final int i) {
        final String name = "v" + i;
        final Acceptor acceptor =
                new Acceptor(name, new SegmentedLog(disks.get(i)), this::send, new Open(), "disk-" + i);
        ears.put(name, message -> acceptor.onMessage((ConsensusMessage) message, name));
        return acceptor;
    }

    /** Sends a note late, twice or not at all. */
    public void send(final String to, final Message message) {
        final int times = random.nextDouble() < loss ? random.nextInt(2) * 2 : 1;
        for (int i = 0; i < times; i++) {
            clock.after(1 + random.nextInt(40), () -> ears.get(to).accept(message));
        }
    }

    /** A proposer of its own name. */
    public Proposer proposer(final String name) {
        final Proposer made = new Proposer(
                name + "#1", name, this::send, clock, random, new Proposer.Timing(150, 30, 1000), (voter, key) -> {});
        made.updateVoterSet(table);
        ears.put(name, message -> {
            if (message instanceof ConsensusMessage b) {
                made.onMessage(b);
            }
        });
        return made;
    }

    /** The power of one voter goes and comes back at once: what was not synced is lost. */
    public void bounce(final int i) {
        disks.get(i).losePower();
        acceptor(i);
    }

    /** Goes on until then. */
    public void run(final long untilMs) {
        clock.runUntil(untilMs, () -> {});
    }
}
