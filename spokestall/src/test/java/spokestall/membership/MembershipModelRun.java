package spokestall.membership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;
import spokestall.consensus.VoterSet;

/**
 * One run of a fleet in three regions through random losses, which depend on a seed. Each loss stays within the tolerated loss of
 * one region, except that all cores may stop at once and keep their disks. Disks are wiped, nodes are replaced with and without a
 * handover, replacements are replaced again, and nodes are killed or partitioned. Two proposers concurrently propose different
 * values for each key, which may be written only once.
 *
 * <p>Checks that no key is confirmed with two different values, that enough disks hold each confirmed value after every step, that
 * no second generation ever starts, and that all voters that are up vote before the next loss.
 */
final class MembershipModelRun {
    /** Result of a run without a violation. */
    record Summary(int confirmed, int fewestCopies, int fewestCopiesWhenSettled) {}

    private enum Loss {
        WIPE,
        KILL,
        KILL_ALL,
        REPLACE,
        REPLACE_GRACEFULLY,
        PARTITION
    }

    private static final int CATCH_UP_MILLIS = 4000;
    /** Catch-up time while up to one message in twelve is lost, which real transports would retransmit. */
    private static final int CATCH_UP_LOSSY_MILLIS = 6000;

    private static final int CORES = 6;
    private static final int SEED_EDGES = 3;
    private static final int REGIONS = 3;
    private static final int LOSSES = 9;
    private static final int BLOCK_OUTGOING = 1;
    private static final int BLOCK_INCOMING = 2;

    private final long seed;
    private final MembershipTestFleet fleet;
    private final Map<String, String> confirmed = new TreeMap<>();
    private final int[] coresCreated = new int[REGIONS];
    private int writes;
    private int fewestCopiesWhenSettled = Integer.MAX_VALUE;
    private int fewestCopies = Integer.MAX_VALUE;

    /** Starts the fleet, and injects the fault once the fleet has settled. */
    MembershipModelRun(final long seed, final Consumer<MembershipTestFleet> injectedFault) {
        this.seed = seed;
        fleet = new MembershipTestFleet(seed);
        fleet.wholeRegionMayFail = true;
        for (int i = 0; i < CORES; i++) {
            addCore(i % REGIONS).configuredAsFirst = true;
        }
        for (int i = 0; i < SEED_EDGES; i++) {
            fleet.addEdge("e" + i).configuredAsFirst = true;
            fleet.seeds.add("e" + i);
        }
        fleet.startAll();
        fleet.run(12_000);
        injectedFault.accept(fleet);
        fleet.messageLoss = 0.04 * (seed % 3);
    }

    private MembershipTestNode addCore(final int region) {
        return fleet.addCore("c" + (region + REGIONS * coresCreated[region]++));
    }

    private int random(final int bound) {
        return fleet.random.nextInt(bound);
    }

    private String describe() {
        return "seed " + seed + " " + fleet.describe() + "\n" + fleet.newestVoterSet();
    }

    private void write() {
        final String key = "once/" + writes++;
        for (int i = 0; i < 2; i++) {
            final MembershipTestNode proposing = fleet.node("e" + i);
            final String value = key + " by " + proposing.name;
            proposing.proposer.propose(
                    key,
                    2500,
                    current -> current == null ? new RegisterEdit.Set(value.getBytes(UTF_8)) : RegisterEdit.LEAVE,
                    outcome -> confirm(key, outcome));
        }
    }

    private void confirm(final String key, final ProposalOutcome outcome) {
        if (outcome instanceof ProposalOutcome.Committed done && done.value() != null) {
            final String value = new String(done.value(), UTF_8);
            assertThat(confirmed.getOrDefault(key, value)).as(describe()).isEqualTo(value);
            confirmed.put(key, value);
        }
    }

    private void checkCopies() {
        final MembershipTestFleet.Copies copies = fleet.countCopies(confirmed);
        assertThat(copies.fewest())
                .as("%s %s", copies, describe())
                .isGreaterThanOrEqualTo(Math.max(1, copies.required()));
        fewestCopies = Math.min(fewestCopies, copies.fewest());
    }

    /** Advances the fleet with concurrent writes, and checks the copies at random times and at the end. */
    private void runWithWrites(final long spanMillis) {
        final long untilMillis = fleet.nowMs() + spanMillis;
        while (fleet.nowMs() < untilMillis) {
            write();
            fleet.run(Math.min(untilMillis, fleet.nowMs() + 50 + random(300)));
            if (random(4) == 0) {
                checkCopies();
            }
        }
        checkCopies();
    }

    /** Runs until restarted and new cores have had time to catch up, after which they no longer count as lost. */
    private void settle() {
        runWithWrites(fleet.messageLoss == 0 ? CATCH_UP_MILLIS : CATCH_UP_LOSSY_MILLIS);
        assertThat(survivesNextLoss()).as(describe()).isTrue();
        assertThat(fleet.newestVoterSet().voters().size())
                .as(describe())
                .isLessThanOrEqualTo(fleet.cores().size() + 1);
        fewestCopiesWhenSettled =
                Math.min(fewestCopiesWhenSettled, fleet.countCopies(confirmed).fewest());
    }

    /** Whether every voter that is up votes, and a majority of the voters remains after the loss of any one region. */
    private boolean survivesNextLoss() {
        final VoterSet voterSet = fleet.newestVoterSet();
        final List<MembershipTestNode> voters = fleet.cores().stream()
                .filter(core -> voterSet.voter(core.name) != null)
                .toList();
        boolean survives = voters.stream()
                .allMatch(core -> core.acceptor.state() == Acceptor.State.VOTING
                        && core.acceptor.voterSet().hasEpoch(voterSet.generation(), voterSet.epoch()));
        for (int region = 0; region < REGIONS; region++) {
            final int lostRegion = region;
            survives &=
                    voters.stream().filter(core -> core.region() != lostRegion).count() >= voterSet.majority();
        }
        return survives;
    }

    /** Returns a random non-empty subset of the cores of one region. */
    private List<MembershipTestNode> randomCoresIn(final int region) {
        final List<MembershipTestNode> all = new ArrayList<>(
                fleet.cores().stream().filter(core -> core.region() == region).toList());
        Collections.shuffle(all, fleet.random);
        return all.subList(0, 1 + random(all.size()));
    }

    private void wipe(final int region) {
        final List<MembershipTestNode> cores = randomCoresIn(region);
        cores.forEach(MembershipTestNode::wipe);
        startOneByOne(cores);
    }

    private void kill(final int region) {
        final List<MembershipTestNode> cores = randomCoresIn(region);
        cores.forEach(MembershipTestNode::stop);
        startOneByOne(cores);
    }

    private void killAll() {
        final List<MembershipTestNode> all = fleet.cores();
        all.forEach(MembershipTestNode::stop);
        runWithWrites(random(900));
        all.forEach(MembershipTestNode::start);
    }

    private void startOneByOne(final List<MembershipTestNode> cores) {
        for (final MembershipTestNode core : cores) {
            runWithWrites(random(6000));
            core.start();
        }
    }

    /**
     * Removes cores of the region permanently and starts a blank successor for each. At random, one successor is removed and
     * replaced during its catch-up, and at random, disks of the region are wiped once its newest core votes or two seconds have
     * passed.
     */
    private void replace(final int region) {
        final List<MembershipTestNode> cores = randomCoresIn(region);
        cores.forEach(MembershipTestNode::removeForGood);
        runWithWrites(random(3000));
        final List<MembershipTestNode> successors = new ArrayList<>();
        cores.forEach(core -> successors.add(addCore(region)));
        successors.forEach(MembershipTestNode::start);
        if (random(2) == 0) {
            runWithWrites(random(4500));
            successors.get(0).removeForGood();
            final MembershipTestNode second = addCore(region);
            runWithWrites(random(2000));
            second.start();
        }
        if (random(3) == 0) {
            runUntilVoting(fleet.node("c" + (region + REGIONS * (coresCreated[region] - 1))));
            wipe(region);
        }
    }

    private void runUntilVoting(final MembershipTestNode core) {
        for (int i = 0; i < 100 && core.acceptor.state() != Acceptor.State.VOTING; i++) {
            fleet.runFor(20);
        }
        checkCopies();
    }

    /** Replaces cores one by one: starts the new core first, then the old core hands over and leaves. */
    private void replaceGracefully(final int region) {
        for (final MembershipTestNode old : randomCoresIn(region)) {
            addCore(region).start();
            runWithWrites(500 + random(4000));
            old.leaveGracefullyForGood();
            runWithWrites(1000);
        }
    }

    /**
     * Partitions cores of the region in one direction or both, from all nodes or from cores only. At random, the cores restart or a
     * new core starts during the partition, and the cores restart repeatedly after it.
     */
    private void partition(final int region) {
        final List<MembershipTestNode> cores = randomCoresIn(region);
        final int directions = 1 + random(3);
        final boolean fromCoresOnly = random(2) == 0;
        for (final MembershipTestNode core : cores) {
            for (final MembershipTestNode other : fleet.nodes.values()) {
                if (!cores.contains(other) && (other.core || !fromCoresOnly)) {
                    blockLinks(directions, core, other);
                }
            }
        }
        runWithWrites(2000 + random(18_000));
        if (random(3) == 0) {
            cores.forEach(MembershipTestNode::stop);
            runWithWrites(random(1000));
            cores.forEach(MembershipTestNode::start);
        }
        if (random(3) == 0) {
            // A core starts while the partitioned cores are silent, and may take the slot of one of them.
            addCore(region).start();
            runWithWrites(random(9000));
            cores.get(0).removeForGood();
        }
        fleet.blockedLinks.clear();
        if (random(2) == 0) {
            restartWhileRejoining(cores);
        }
    }

    /** Restarts cores repeatedly while they rejoin. They may have been partitioned long enough to lose their slots. */
    private void restartWhileRejoining(final List<MembershipTestNode> cores) {
        final List<MembershipTestNode> remaining =
                cores.stream().filter(core -> !core.removed).toList();
        for (int i = 0; i < 5; i++) {
            fleet.runFor(random(400));
            remaining.forEach(MembershipTestNode::stop);
            fleet.runFor(random(60));
            remaining.forEach(MembershipTestNode::start);
        }
    }

    private void blockLinks(final int directions, final MembershipTestNode core, final MembershipTestNode other) {
        if ((directions & BLOCK_OUTGOING) > 0) {
            fleet.blockedLinks.add(core.name + ">" + other.name);
        }
        if ((directions & BLOCK_INCOMING) > 0) {
            fleet.blockedLinks.add(other.name + ">" + core.name);
        }
    }

    private void injectLoss() {
        final int region = random(REGIONS);
        switch (Loss.values()[random(Loss.values().length)]) {
            case WIPE -> wipe(region);
            case KILL -> kill(region);
            case KILL_ALL -> killAll();
            case REPLACE -> replace(region);
            case REPLACE_GRACEFULLY -> replaceGracefully(region);
            case PARTITION -> partition(region);
        }
    }

    /** Runs all losses; throws an {@link AssertionError} at the first violation. */
    Summary run() {
        settle();
        for (int i = 0; i < LOSSES; i++) {
            injectLoss();
            settle();
        }
        fleet.messageLoss = 0;
        settle();
        verifyConfirmedValues();
        assertThat(fleet.startedGenerations).as(describe()).hasSize(1);
        return new Summary(confirmed.size(), fewestCopies, fewestCopiesWhenSettled);
    }

    private void verifyConfirmedValues() {
        fleet.runFor(3000);
        final Map<String, String> read = new TreeMap<>();
        confirmed
                .keySet()
                .forEach(key -> fleet.node("e2").proposer.read(key, 3000, outcome -> {
                    if (outcome instanceof ProposalOutcome.Committed done) {
                        read.put(key, new String(done.value(), UTF_8));
                    }
                }));
        fleet.runFor(4000);
        assertThat(read).as(describe()).isEqualTo(confirmed);
    }
}
