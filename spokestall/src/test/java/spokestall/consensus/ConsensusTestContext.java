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

/** Six acceptors and some proposers in virtual time, with delayed, lost and duplicated messages and power loss of acceptors. */
public final class ConsensusTestContext {
    /** The virtual clock of all nodes. */
    public final EventClock clock = new EventClock(0);
    /** The only source of randomness, so that a run is reproducible from its seed. */
    public final Random random;

    private final Map<String, Consumer<Message>> receivers = new HashMap<>();
    private final List<DelayedSegmentStore> disks = new ArrayList<>();
    private final VoterSet voterSet;
    private final double lossRatio;

    /**
     * Starts the six acceptors of the first voter set.
     *
     * @param lossRatio the share of messages that are not delivered exactly once; half of them are lost and half are delivered
     *     twice
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

    /** Delivers a message once, twice or not at all, after random delays. */
    public void send(final String to, final Message message) {
        final int times = random.nextDouble() < lossRatio ? random.nextInt(2) * 2 : 1;
        for (int i = 0; i < times; i++) {
            clock.after(1 + random.nextInt(40), () -> receivers.get(to).accept(message));
        }
    }

    /** Creates a proposer whose address is its name. */
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

    /** Restarts an acceptor after a power loss, which discards its unsynced writes. */
    public void powerCycle(final int i) {
        disks.get(i).losePower();
        acceptor(i);
    }

    /** Runs all events up to a time of the virtual clock, in milliseconds. */
    public void run(final long untilMs) {
        clock.runUntil(untilMs, () -> {});
    }
}
