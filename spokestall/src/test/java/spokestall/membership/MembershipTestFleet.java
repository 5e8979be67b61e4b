package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ConsensusMessage;
import spokestall.consensus.Register;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;
import spokestall.message.Message;
import spokestall.message.MessageCodec;
import spokestall.time.EventClock;

/**
 * A simulated fleet in virtual time whose number of cores is not configured. Cores and edges can start late, restart and lose
 * disks, and messages are delayed, lost and duplicated. After every event the fleet checks that no two nodes have different voter
 * sets for the same epoch.
 */
final class MembershipTestFleet {
    private static final int DELAY_MAX_MILLIS = 60;

    final EventClock clock = new EventClock(0);
    final Random random;
    final Map<String, MembershipTestNode> nodes = new TreeMap<>();
    final List<String> seeds = new ArrayList<>();
    /** Generations of all voter sets seen, by the generation that they succeed; first generations are under key 0. */
    final Map<Long, Set<Long>> startedGenerations = new TreeMap<>();
    /** Links that deliver no messages, as "from>to". */
    final Set<String> blockedLinks = new HashSet<>();
    /** Names of the nodes whose state was merged into each proposed generation, by that generation. */
    final Map<Long, Set<String>> mergedStateSources = new HashMap<>();

    /** Probability that a message is lost or duplicated. */
    double messageLoss;

    boolean everyIncarnationIsFirst;
    /** Injected fault: the catch-up responses that a core receives contain no entries. */
    boolean injectEmptyCatchUp;
    /** Whether the tolerated loss is a whole region instead of one node. */
    boolean wholeRegionMayFail;
    /** Whether edges receive no feed. */
    boolean edgeFeedDisabled;

    long messagesSent;
    long voterSetsSent;
    private final Map<Long, Long> baseGenerationOf = new HashMap<>();
    private final Map<String, List<Voter>> votersByEpoch = new HashMap<>();
    private long lastGeneration = 1;
    private VoterSet newestVoterSet;

    MembershipTestFleet(final long seed) {
        random = new Random(seed);
    }

    /**
     * Creates a fleet of cores c0, c1, ... and edges e0, e1, ..., up to three of which are seeds. Each node is configured as first
     * with the given probability.
     */
    static MembershipTestFleet fleet(
            final long seed, final int cores, final int edges, final double configuredAsFirst) {
        final MembershipTestFleet fleet = new MembershipTestFleet(seed);
        for (int i = 0; i < cores; i++) {
            fleet.addCore("c" + i).configuredAsFirst = fleet.random.nextDouble() < configuredAsFirst;
        }
        for (int i = 0; i < edges; i++) {
            fleet.addEdge("e" + i).configuredAsFirst = fleet.random.nextDouble() < configuredAsFirst;
        }
        final List<String> names = new ArrayList<>(fleet.nodes.keySet());
        Collections.shuffle(names, fleet.random);
        fleet.seeds.addAll(names.subList(0, Math.min(names.size(), 1 + fleet.random.nextInt(3))));
        return fleet;
    }

    MembershipTestNode addCore(final String name) {
        return add(new MembershipTestNode(this, name, MembershipTestNode.Role.CORE));
    }

    MembershipTestNode addEdge(final String name) {
        return add(new MembershipTestNode(this, name, MembershipTestNode.Role.EDGE));
    }

    private MembershipTestNode add(final MembershipTestNode node) {
        nodes.put(node.name, node);
        return node;
    }

    MembershipTestNode node(final String name) {
        return nodes.get(name);
    }

    void startAll() {
        nodes.values().forEach(MembershipTestNode::start);
    }

    /** Creates an initial state with a unique generation number, so that the checks can distinguish proposed generations. */
    InitialState initialState(final long baseGeneration, final List<Voter> voters) {
        final long generation = Math.max(baseGeneration, lastGeneration) + 1;
        lastGeneration = generation;
        baseGenerationOf.put(generation, baseGeneration);
        return new InitialState(new VoterSet(generation, 1, voters), List.of());
    }

    /** Merges no registers, but records the nodes whose state would have been merged. */
    InitialState merge(final long baseGeneration, final List<SurvivingState> survivors, final List<Voter> voters) {
        final InitialState initialState = initialState(baseGeneration, voters);
        final Set<String> withState = new HashSet<>();
        survivors.stream()
                .filter(survivor -> survivor.hasState() && survivor.generation() == baseGeneration)
                .forEach(survivor -> withState.add(survivor.name()));
        mergedStateSources.put(initialState.voterSet().generation(), withState);
        return initialState;
    }

    int maxVotersLost(final List<Voter> voters) {
        if (!wholeRegionMayFail) {
            return 1;
        }
        final int[] inRegion = new int[3];
        voters.forEach(voter -> inRegion[node(voter.name()).region()]++);
        return Math.max(inRegion[0], Math.max(inRegion[1], inRegion[2]));
    }

    /** Returns the newest voter set that any node has adopted. */
    VoterSet newestVoterSet() {
        return newestVoterSet;
    }

    private Message withInjectedFault(final Message message) {
        return injectEmptyCatchUp && message instanceof ConsensusMessage.CatchUpResponse page
                ? new ConsensusMessage.CatchUpResponse(
                        page.name(),
                        page.generation(),
                        page.epoch(),
                        page.afterKey(),
                        List.of(),
                        true,
                        page.versionFloor())
                : message;
    }

    void send(final String from, final String to, final Message original) {
        final Message message = withInjectedFault(original);
        if (blockedLinks.contains(from + ">" + to)) {
            return;
        }
        messagesSent++;
        final boolean withVoterSet =
                message instanceof MembershipMessage.VoterStatus status && status.voterSet() != null
                        || message instanceof ConsensusMessage.VoterSetUpdate;
        voterSetsSent += withVoterSet ? 1 : 0;
        final int copies = random.nextDouble() < messageLoss ? random.nextInt(2) * 2 : 1;
        final MembershipTestNode target = node(to);
        for (int i = 0; target != null && i < copies; i++) {
            final int incarnation = target.incarnations;
            clock.after(1 + random.nextInt(DELAY_MAX_MILLIS), () -> {
                if (target.up && target.incarnations == incarnation) {
                    target.onMessage(message);
                }
            });
        }
    }

    private void checkVoterSet(final MembershipTestNode node) {
        final VoterSet voterSet = node.up ? node.proposer.voterSet() : null;
        if (voterSet != null) {
            newestVoterSet = voterSet.newerThan(newestVoterSet) ? voterSet : newestVoterSet;
            final List<Voter> known =
                    votersByEpoch.putIfAbsent(voterSet.generation() + "/" + voterSet.epoch(), voterSet.voters());
            assertThat(known == null || known.equals(voterSet.voters()))
                    .as("one voter set per epoch, at node %s, time %s: %s, %s", node.name, nowMs(), known, voterSet)
                    .isTrue();
            assertThat(voterSet.voters().stream().map(Voter::name).distinct().count())
                    .isEqualTo(voterSet.voters().size());
            startedGenerations
                    .computeIfAbsent(baseGenerationOf.get(voterSet.generation()), base -> new HashSet<>())
                    .add(voterSet.generation());
        }
    }

    /** Returns the synced records of a voter of the newest set, or empty if its disk is lost or has not caught up. */
    private Optional<Map<String, byte[]>> storedState(final Voter voter) {
        final MembershipTestNode node = node(voter.name());
        final Map<String, byte[]> stored = node.removed ? Map.of() : node.syncedRecords();
        final boolean sameDisk = voter.diskId().equals(text(stored.get("~disk")));
        final String caughtUp = voter.diskId() + "/" + newestVoterSet.generation();
        return sameDisk && caughtUp.equals(text(stored.get("~caught"))) ? Optional.of(stored) : Optional.empty();
    }

    private static String text(final byte[] value) {
        return value == null ? "" : new String(value, StandardCharsets.UTF_8);
    }

    /** Number of voters, of voter disks with state, and of copies of the value that has the fewest copies. */
    record Copies(int voters, int withState, int fewest, String fewestKey) {
        /** Returns the minimum number of copies: a majority, less the voters whose disks are lost or still catching up. */
        int required() {
            return voters / 2 + 1 - (voters - withState);
        }
    }

    /** Counts the copies of each value, by key, that are synced to disks of voters. */
    Copies countCopies(final Map<String, String> values) {
        final List<Map<String, byte[]>> states = newestVoterSet.voters().stream()
                .map(this::storedState)
                .flatMap(Optional::stream)
                .toList();
        int fewest = Integer.MAX_VALUE;
        String fewestKey = "";
        for (final Map.Entry<String, String> value : values.entrySet()) {
            final int copies = (int) states.stream()
                    .filter(state -> holds(state.get(value.getKey()), value.getValue()))
                    .count();
            if (copies < fewest) {
                fewest = copies;
                fewestKey = value.getKey();
            }
        }
        return new Copies(newestVoterSet.voters().size(), states.size(), fewest, fewestKey);
    }

    private static boolean holds(final byte[] register, final String value) {
        return register != null
                && value.equals(
                        text(MessageCodec.decodeRecord(register, Register.class).value()));
    }

    /** Returns the cores that are up. */
    List<MembershipTestNode> cores() {
        return nodes.values().stream().filter(node -> node.core && node.up).toList();
    }

    /** Whether every core that is up votes, and all of them are members of the same voter set and have adopted it. */
    boolean allCoresVote() {
        final List<MembershipTestNode> cores = cores();
        final VoterSet voterSet = cores.get(0).proposer.voterSet();
        return voterSet != null
                && cores.stream()
                        .allMatch(core -> core.acceptor.state() == Acceptor.State.VOTING
                                && core.proposer.voterSet().hasEpoch(voterSet.generation(), voterSet.epoch())
                                && voterSet.voter(core.name) != null);
    }

    /** Describes the fleet for assertion messages. */
    String describe() {
        final StringBuilder out = new StringBuilder("at " + nowMs() + " seeds " + seeds);
        nodes.forEach((name, node) -> out.append("\n")
                .append(name)
                .append(node.up ? " up" : " down")
                .append(" incarnations ")
                .append(node.incarnations)
                .append(node.configuredAsFirst ? " first " : " ")
                .append(node.core && node.acceptor != null ? node.acceptor.state() : "")
                .append(node.proposer == null ? "" : " " + node.proposer.voterSet()));
        return out.toString();
    }

    void run(final long untilMillis) {
        clock.runUntil(untilMillis, () -> nodes.values().forEach(this::checkVoterSet));
    }

    void runFor(final long spanMillis) {
        run(nowMs() + spanMillis);
    }

    long nowMs() {
        return clock.nowMs();
    }
}
