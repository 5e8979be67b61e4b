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

/** Six acceptors and some proposers in virtual time; messages are delayed, lost and duplicated, and acceptors lose power. */
public final class ConsensusTestContext {
    /** The virtual clock of all nodes. */
    public final EventClock clock = new EventClock(0);
    /** The source of all randomness, which makes a run repeatable by its seed. */
    public final Random random;

    private final Map<String, Consumer<Message>> receivers = new HashMap<>();
    private final List<DelayedSegmentStore> disks = new ArrayList<>();
    private final VoterSet voterSet;
    private final double lossRatio;

    /**
     * Starts the six acceptors of the first voter set.
     *
     * @param lossRatio the share of messages that are lost or sent twice, half of them each
     */
    public ConsensusTestContext(final long seed, final double lossRatio) {
        this.random = new Random(seed);
        this.lossRatio = lossRatio;
        final List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            voters.add(new Voter("v" + i, "v" + i, "disk-" + i));
            disks.add(new DelayedSegmentStore(8, 1 << 16, clock, () -> 1 + random.nextInt(3)));
        }
        voterSet = new VoterSet(1, 1, voters);
        for (int i = 0; i < 6; i++) {
            final Acceptor acceptor = acceptor(i);
            clock.after(0, () -> acceptor.startGeneration(voterSet, List.of()));
        }
        run(100);
    }

    private Acceptor acceptor(final int i) {
        final String name = "v" + i;
        final Acceptor acceptor =
                new Acceptor(name, new SegmentedLog(disks.get(i)), this::send, new PermissiveGuard(), "disk-" + i);
        receivers.put(name, message -> acceptor.onMessage((ConsensusMessage) message, name));
        return acceptor;
    }

    /** Delivers a message after a random delay, twice, or not at all. */
    public void send(final String to, final Message message) {
        final int times = random.nextDouble() < lossRatio ? random.nextInt(2) * 2 : 1;
        for (int i = 0; i < times; i++) {
            clock.after(1 + random.nextInt(40), () -> receivers.get(to).accept(message));
        }
    }

    /** Creates a proposer under an address of its own. */
    public Proposer proposer(final String name) {
        final Proposer proposer = new Proposer(
                name + "#1", name, this::send, clock, random, new Proposer.Timing(150, 30, 1000), (voter, key) -> {});
        proposer.updateVoterSet(voterSet);
        receivers.put(name, message -> {
            if (message instanceof ConsensusMessage consensusMessage) {
                proposer.onMessage(consensusMessage);
            }
        });
        return proposer;
    }

    /** Cuts one acceptor's power and restarts it at once: what was not synced is lost. */
    public void powerCycle(final int i) {
        disks.get(i).losePower();
        acceptor(i);
    }

    /** Runs all events up to this time. */
    public void run(final long untilMs) {
        clock.runUntil(untilMs, () -> {});
    }
}
