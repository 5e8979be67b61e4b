package spokestall.membership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;
import spokestall.consensus.Voter;
import spokestall.consensus.VoterSet;

class ReconfigurationTest {
    /** An edge that knows no voter set and has no disk to mark. */
    private static final class EdgeEnvironment implements BootstrapAcceptor.Environment {
        @Override
        public VoterSet voterSet() {
            return null;
        }

        @Override
        public void afterDiskMarked(final Runnable action) {
            action.run();
        }
    }

    private static long number(final byte[] value) {
        return value == null ? 0 : Long.parseLong(new String(value, StandardCharsets.UTF_8));
    }

    private static MembershipTestContext fleet(final long seed, final int cores, final int edges, final double told) {
        final MembershipTestContext context = new MembershipTestContext(seed);
        final List<String> names = new ArrayList<>();
        for (int i = 0; i < cores; i++) {
            names.add(context.addNode("c" + i, true, context.random.nextDouble() < told).name);
        }
        for (int i = 0; i < edges; i++) {
            names.add(context.addNode("e" + i, false, context.random.nextDouble() < told).name);
        }
        java.util.Collections.shuffle(names, context.random);
        context.seeds.addAll(names.subList(0, Math.min(names.size(), 1 + context.random.nextInt(3))));
        return context;
    }

    /** Whatever comes late, restarts or is lost on the way: there is one first generation at most. */
    @Test
    void noFleetIsFoundedTwice() {
        int startedGenerations = 0;
        for (int seed = 0; seed < 200; seed++) {
            final MembershipTestContext context = fleet(seed, 1 + seed % 7, 1 + seed % 3, 0.85);
            context.loss = 0.1 * (seed % 5);
            for (final MembershipTestContext.TestNode m : context.nodes.values()) {
                context.clock.after(context.random.nextInt(context.random.nextBoolean() ? 500 : 6000), m::start);
            }
            for (int i = context.random.nextInt(5); i > 0; i--) {
                final List<MembershipTestContext.TestNode> all = List.copyOf(context.nodes.values());
                final MembershipTestContext.TestNode m = all.get(context.random.nextInt(all.size()));
                context.clock.after(1500 + context.random.nextInt(5000), () -> {
                    if (m.up) {
                        m.stop();
                        context.clock.after(context.random.nextInt(800), m::start);
                    }
                });
            }
            context.run(12_000);
            context.loss = 0;
            context.run(30_000);
            assertThat(context.startedGenerations.getOrDefault(0L, java.util.Set.of()))
                    .as(seed + " " + context.describe())
                    .hasSizeLessThanOrEqualTo(1);
            if (!context.startedGenerations.isEmpty()) {
                assertThat(context.allCoresVote())
                        .as(seed + " " + context.describe())
                        .isTrue();
                startedGenerations++;
            }
        }
        assertThat(startedGenerations).isGreaterThan(100);
    }

    /** Lives that are wrongly told they are the first are what the look at two foundings must find. */
    @Test
    void seedsThatForgetWhatTheyPromisedWouldBeFound() {
        int twice = 0;
        for (int seed = 0; seed < 60; seed++) {
            final MembershipTestContext context = fleet(seed, 4, 3, 1);
            context.seeds.clear();
            context.seeds.addAll(List.of("e0", "e1", "e2"));
            context.everyIncarnationIsFirst = true;
            context.edgesWithoutFeed = true;
            context.loss = 0.4;
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            for (int at = 2000; at < 9000; at += 100) {
                final MembershipTestContext.TestNode edge = context.nodes.get("e" + context.random.nextInt(3));
                context.clock.after(at, () -> {
                    edge.stop();
                    edge.start();
                });
            }
            context.run(12_000);
            twice += context.startedGenerations
                                    .getOrDefault(0L, java.util.Set.of())
                                    .size()
                            > 1
                    ? 1
                    : 0;
        }
        assertThat(twice).isPositive();
    }

    /** Three edges are the seeds; one restarts between promise and accept, and with it what it promised is gone. */
    @Test
    void aSeedThatRestartsBetweenPromiseAndAcceptLetsNoSecondFoundingThrough() {
        final List<String> seeds = List.of("s0", "s1", "s2");
        final List<BootstrapMessage> sent = new ArrayList<>();
        final List<BootstrapAcceptor> councils = new ArrayList<>();
        for (final String seed : seeds) {
            councils.add(new BootstrapAcceptor(
                    seed,
                    seeds,
                    BootstrapAcceptor.Eligibility.FIRST_INCARNATION,
                    (to, message) -> sent.add((BootstrapMessage) message),
                    new EdgeEnvironment()));
        }
        final ProposalNumber one = new ProposalNumber(1, "a");
        final ProposalNumber two = new ProposalNumber(2, "b");
        final InitialState first = new InitialState(new VoterSet(7, 1, List.of(new Voter("a", "a", "x"))), List.of());
        final InitialState second = new InitialState(new VoterSet(8, 1, List.of(new Voter("b", "b", "y"))), List.of());
        councils.get(0).onMessage(new BootstrapMessage.Prepare("a", seeds, one));
        councils.get(1).onMessage(new BootstrapMessage.Prepare("a", seeds, one));
        councils.get(0).onMessage(new BootstrapMessage.Accept("a", seeds, one, first));
        councils.get(1).onMessage(new BootstrapMessage.Accept("a", seeds, one, first));
        assertThat(sent)
                .filteredOn(n -> n instanceof BootstrapMessage.Accepted t && t.granted())
                .hasSize(2);
        sent.clear();
        councils.set(
                1,
                new BootstrapAcceptor(
                        "s1",
                        seeds,
                        BootstrapAcceptor.Eligibility.LATER_INCARNATION,
                        (to, message) -> sent.add((BootstrapMessage) message),
                        new EdgeEnvironment()));
        councils.get(1).onMessage(new BootstrapMessage.Prepare("b", seeds, two));
        councils.get(2).onMessage(new BootstrapMessage.Prepare("b", seeds, two));
        councils.get(1).onMessage(new BootstrapMessage.Accept("b", seeds, two, second));
        councils.get(2).onMessage(new BootstrapMessage.Accept("b", seeds, two, second));
        assertThat(sent)
                .as("one seed of three")
                .filteredOn(n -> n instanceof BootstrapMessage.Promise)
                .hasSize(1);
        assertThat(sent).filteredOn(n -> n instanceof BootstrapMessage.Accepted).hasSize(1);
        sent.clear();
        councils.get(0).onMessage(new BootstrapMessage.Prepare("b", seeds, two));
        assertThat(sent)
                .first()
                .isInstanceOfSatisfying(
                        BootstrapMessage.Promise.class,
                        p -> assertThat(p.initialState()).isEqualTo(first));
        sent.clear();
        councils.get(0)
                .onMessage(new BootstrapMessage.Prepare("b", List.of("s0", "s1", "s9"), new ProposalNumber(3, "b")));
        assertThat(sent).as("whoever goes by other seeds gets no vote").isEmpty();
    }

    /** Cores come under new names and lose disks; numbers that were agreed stand, and none stands for two changes. */
    @Test
    void whatWasAgreedStandsWhileVotersAreAddedAndSwapped() {
        long changes = 0;
        for (int seed = 0; seed < 40; seed++) {
            final MembershipTestContext context = fleet(seed, 2 + seed % 3, 2, 1);
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            context.run(8000);
            assertThat(context.allCoresVote())
                    .as(seed + " " + context.describe())
                    .isTrue();
            context.loss = 0.05 * (seed % 4);
            final List<Long> done = new ArrayList<>();
            for (int at = 0; at < 30_000; at += 350) {
                final MembershipTestContext.TestNode by = context.nodes.get("e" + context.random.nextInt(2));
                context.clock.after(at, () -> {
                    final long floor =
                            done.stream().mapToLong(Long::longValue).max().orElse(0);
                    by.proposer.change(
                            "count",
                            2500,
                            now -> new RegisterEdit.Set(
                                    Long.toString(number(now) + 1).getBytes(StandardCharsets.UTF_8)),
                            o -> {
                                if (o instanceof ProposalOutcome.Done d && d.wrote()) {
                                    assertThat(number(d.value())).isGreaterThan(floor);
                                    done.add(number(d.value()));
                                }
                            });
                });
            }
            for (int i = 0; i < 5; i++) {
                final MembershipTestContext.TestNode fresh = context.addNode("n" + i, true, false);
                context.clock.after(context.random.nextInt(12_000), fresh::start);
            }
            for (int i = 0; i < 3; i++) {
                context.clock.after(14_000 + i * 6000, () -> {
                    // No more than one disk at a time, so that a majority with state stays.
                    final List<MembershipTestContext.TestNode> cores = context.cores();
                    final MembershipTestContext.TestNode m = cores.get(context.random.nextInt(cores.size()));
                    if (context.allCoresVote() && cores.size() > 2) {
                        m.wipe();
                        context.clock.after(500, m::start);
                    }
                });
            }
            context.run(context.nowMs() + 32_000);
            context.loss = 0;
            context.run(context.nowMs() + 8000);
            assertThat(context.allCoresVote())
                    .as(seed + " " + context.describe())
                    .isTrue();
            assertThat(context.startedGenerations).as(seed + " one generation").hasSize(1);
            assertThat(done)
                    .as("no number stands for two changes, seed " + seed)
                    .doesNotHaveDuplicates();
            changes += done.size();
        }
        assertThat(changes).isGreaterThan(2000);
    }

    @Test
    void aCoreUnderANewNameVotesWithinASecondOfHearingTheTable() {
        final MembershipTestContext context = fleet(1, 3, 1, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        final MembershipTestContext.TestNode fresh = context.addNode("n0", true, false);
        fresh.start();
        long heardMs = -1;
        while (fresh.acceptor.state() != Acceptor.State.VOTING && context.nowMs() < 25_000) {
            context.run(context.nowMs() + 10);
            heardMs = heardMs < 0 && fresh.proposer.voterSet() != null ? context.nowMs() : heardMs;
        }
        assertThat(heardMs).isPositive();
        assertThat(context.nowMs() - heardMs).isLessThan(1000);
    }

    @Test
    void aCoreThatIsNotToldOfAFirstStartWaitsForATable() {
        final MembershipTestContext context = fleet(3, 3, 2, 0);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(60_000);
        assertThat(context.startedGenerations).isEmpty();
        assertThat(context.cores()).allMatch(m -> m.acceptor.state() == Acceptor.State.BLANK);
    }

    /** A core that is told again that it is the first, by whoever restarts it, has a disk that knows better. */
    @Test
    void aSeedWithADiskNeverVotesInTwoLivesWhateverItIsTold() {
        for (int seed = 0; seed < 60; seed++) {
            final MembershipTestContext context = fleet(seed, 5, 1, 1);
            context.seeds.clear();
            context.seeds.addAll(List.of("c0", "c1", "c2"));
            context.everyIncarnationIsFirst = true;
            context.loss = 0.4;
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            for (int at = 0; at < 9000; at += 400) {
                final MembershipTestContext.TestNode core = context.nodes.get("c" + context.random.nextInt(3));
                context.clock.after(at + context.random.nextInt(400), () -> {
                    core.stop();
                    core.start();
                });
            }
            context.run(20_000);
            assertThat(context.startedGenerations.getOrDefault(0L, java.util.Set.of()))
                    .as(seed + " " + context.describe())
                    .hasSizeLessThanOrEqualTo(1);
        }
    }

    /** Most disks go, perhaps all, while cores under new names come: each generation ends in one other at most. */
    @Test
    void aGenerationIsFollowedByOneOnlyWhileVotersAreAdded() {
        int more = 0;
        for (int seed = 0; seed < 60; seed++) {
            final MembershipTestContext context = fleet(seed, 2 + seed % 4, 2, 1);
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            context.run(8000);
            context.loss = 0.1 * (seed % 4);
            for (int i = 0; i < 4; i++) {
                final MembershipTestContext.TestNode fresh = context.addNode("n" + i, true, false);
                context.clock.after(context.random.nextInt(8000), fresh::start);
            }
            for (int times = 0; times < 2; times++) {
                context.clock.after(times * 5000 + context.random.nextInt(5000), () -> {
                    final List<MembershipTestContext.TestNode> cores = new ArrayList<>(context.cores());
                    java.util.Collections.shuffle(cores, context.random);
                    for (final MembershipTestContext.TestNode m :
                            cores.subList(0, 1 + context.random.nextInt(cores.size()))) {
                        if (context.random.nextInt(4) > 0) {
                            m.wipe();
                        } else {
                            m.stop();
                        }
                        context.clock.after(context.random.nextInt(4000), () -> {
                            if (!m.up) {
                                m.start();
                            }
                        });
                    }
                });
            }
            context.run(context.nowMs() + 14_000);
            context.loss = 0;
            context.run(context.nowMs() + 25_000);
            final String describe = seed + " " + context.describe() + " " + context.startedGenerations;
            assertThat(context.startedGenerations.values())
                    .as(describe)
                    .allSatisfy(g -> assertThat(g).hasSize(1));
            assertThat(context.allCoresVote()).as(describe).isTrue();
            more += context.startedGenerations.size() > 1 ? 1 : 0;
        }
        assertThat(more).isGreaterThan(20);
    }

    /** Six cores that have settled say no more than a note a second to each other, without their table. */
    @Test
    void aSettledFleetSaysLittle() {
        final MembershipTestContext context = fleet(1, 6, 6, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        final long messages = context.messages;
        final long tables = context.tables;
        context.run(25_000);
        assertThat(context.messages - messages).isLessThanOrEqualTo(6 * 5 * 11);
        assertThat(context.tables - tables).isZero();
    }

    /** Six machines go for good one after another, each followed by an empty one under another name and address. */
    @Test
    void aMachineThatIsReplacedLeavesNoVoterBehind() {
        final MembershipTestContext context = fleet(1, 6, 2, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        for (int i = 0; i < 6; i++) {
            context.nodes.get("c" + i).removeForGood();
            context.run(context.nowMs() + 1000);
            context.addNode("n" + i, true, false).start();
            context.run(context.nowMs() + 4000);
            assertThat(context.allCoresVote()).as(i + " " + context.describe()).isTrue();
            assertThat(context.newest().voters()).hasSize(6);
        }
        assertThat(context.startedGenerations).hasSize(1);
    }

    /** As when each new machine comes before the old one leaves: one seat more, and no more than that. */
    @Test
    void aMachineThatIsReplacedInOrderLeavesNoMoreThanOneVoterBehind() {
        final MembershipTestContext context = fleet(1, 6, 2, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        for (int i = 0; i < 6; i++) {
            context.addNode("n" + i, true, false).start();
            context.run(context.nowMs() + 4000);
            assertThat(context.allCoresVote()).as(i + " " + context.describe()).isTrue();
            context.nodes.get("c" + i).removeForGood();
            context.run(context.nowMs() + 4000);
            assertThat(context.newest().voters()).hasSize(7);
        }
        assertThat(context.startedGenerations).hasSize(1);
    }

    /** A seat whose core never comes back is given up, and the core that does come back has no vote by its old disk. */
    @Test
    void aVoterLongSilentIsGivenUpAndItsDiskHasNoVoteWhenItIsBack() {
        final MembershipTestContext context = fleet(1, 6, 2, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        final MembershipTestContext.TestNode away = context.nodes.get("c2");
        final String disk = away.acceptor.diskId();
        away.stop();
        context.run(context.nowMs() + 28_000);
        assertThat(context.newest().voters()).as("not yet").hasSize(6);
        context.run(context.nowMs() + 6000);
        assertThat(context.newest().voters()).hasSize(5);
        assertThat(context.newest().voter("c2")).isNull();
        away.start();
        context.run(context.nowMs() + 4000);
        assertThat(context.allCoresVote()).as(context.describe()).isTrue();
        assertThat(context.newest().voter("c2").diskId())
                .isEqualTo(away.acceptor.diskId())
                .isNotEqualTo(disk);
    }

    /** Of four seats one may be given up where one loss must be borne; of two none is. */
    @Test
    void noVoterIsGivenUpBelowWhatMustBeBorne() {
        final MembershipTestContext context = fleet(1, 4, 2, 1);
        context.wholeRegionMayFail = true;
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        context.nodes.get("c1").stop();
        context.run(context.nowMs() + 60_000);
        assertThat(context.newest().voters()).as("c0 and c3 are of one region").hasSize(4);
    }

    /** Half of the disks are gone, so a new generation is founded; the other half's are slow, but nothing is left behind. */
    @Test
    void aFoundingWaitsForACoreWithStateThatIsMerelySlow() {
        for (int seed = 0; seed < 10; seed++) {
            final MembershipTestContext context = fleet(seed, 6, 2, 1);
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            context.run(15_000);
            for (int i = 0; i < 3; i++) {
                context.nodes.get("c" + i).wipe();
                context.nodes.get("c" + (i + 3)).slowDisk(700 + 150 * i);
            }
            context.run(context.nowMs() + 1000);
            for (int i = 0; i < 3; i++) {
                context.nodes.get("c" + i).start();
            }
            context.run(context.nowMs() + 30_000);
            final long first = context.startedGenerations.get(0L).iterator().next();
            assertThat(context.startedGenerations.get(first))
                    .as(context.describe())
                    .hasSize(1);
            final long second = context.startedGenerations.get(first).iterator().next();
            assertThat(context.mergedStateOf.get(second))
                    .as("seed " + seed)
                    .containsExactlyInAnyOrder("c3", "c4", "c5");
            assertThat(context.allCoresVote()).as(context.describe()).isTrue();
        }
    }

    /** Whoever proposes a founding dies after the others promised: they have resigned, and the next one needs their state. */
    @Test
    void aFoundingThatIsInterruptedLeavesNoStateBehind() {
        for (int seed = 0; seed < 20; seed++) {
            final MembershipTestContext context = fleet(seed, 6, 2, 1);
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            context.run(15_000);
            for (int i = 0; i < 3; i++) {
                context.nodes.get("c" + i).wipe();
                context.nodes.get("c" + i).start();
            }
            final MembershipTestContext.TestNode some = context.nodes.get("c4");
            while (some.acceptor.state() != Acceptor.State.RESIGNED && context.nowMs() < 40_000) {
                context.run(context.nowMs() + 5);
            }
            context.run(context.nowMs() + context.random.nextInt(150));
            for (int i = 0; i < 3; i++) {
                context.nodes.get("c" + i).stop();
            }
            context.run(context.nowMs() + context.random.nextInt(4000));
            for (int i = 0; i < 3; i++) {
                context.nodes.get("c" + i).start();
            }
            context.run(context.nowMs() + 20_000);
            final long first = context.startedGenerations.get(0L).iterator().next();
            assertThat(context.startedGenerations.get(first))
                    .as(context.describe())
                    .hasSize(1);
            final long second = context.startedGenerations.get(first).iterator().next();
            assertThat(context.mergedStateOf.get(second))
                    .as("seed " + seed)
                    .containsExactlyInAnyOrder("c3", "c4", "c5");
            assertThat(context.allCoresVote()).as(context.describe()).isTrue();
        }
    }

    /** A core with state whose disk has stopped is waited for, but not for ever. */
    @Test
    void aFoundingDoesNotWaitForEver() {
        final MembershipTestContext context = fleet(1, 6, 2, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        for (int i = 0; i < 3; i++) {
            context.nodes.get("c" + i).wipe();
        }
        context.nodes.get("c3").slowDisk(1_000_000);
        context.run(context.nowMs() + 1000);
        for (int i = 0; i < 3; i++) {
            context.nodes.get("c" + i).start();
        }
        context.run(context.nowMs() + 30_000);
        assertThat(context.startedGenerations).as(context.describe()).hasSizeGreaterThan(1);
    }

    /** Values are accepted by four of six only, one of which leaves in order: a majority without it has them. */
    @Test
    void aCoreThatLeavesInOrderLeavesWhatItAcceptedWithAMajority() {
        for (int seed = 0; seed < 20; seed++) {
            final MembershipTestContext context = fleet(seed, 6, 2, 1);
            context.nodes.values().forEach(MembershipTestContext.TestNode::start);
            context.run(15_000);
            for (final String from : List.of("e0", "c0", "c1", "c2", "c3")) {
                context.cut.add(from + ">c4");
                context.cut.add(from + ">c5");
            }
            final java.util.Map<String, String> confirmed = new java.util.TreeMap<>();
            for (int i = 0; i < 20; i++) {
                final String key = "once/" + i;
                context.nodes
                        .get("e0")
                        .proposer
                        .change(
                                key,
                                3000,
                                now -> now == null ? new RegisterEdit.Set(key.getBytes(UTF_8)) : RegisterEdit.LEAVE,
                                o -> {
                                    if (o instanceof ProposalOutcome.Done) {
                                        confirmed.put(key, key);
                                    }
                                });
            }
            context.run(context.nowMs() + 1000);
            assertThat(confirmed).hasSize(20);
            assertThat(context.countCopies(confirmed).fewest()).isEqualTo(4);
            context.cut.clear();
            context.nodes.get("c" + seed % 4).leaveGracefullyForGood();
            context.run(context.nowMs() + 1000);
            assertThat(context.nodes.get("c" + seed % 4).gone).isTrue();
            assertThat(context.countCopies(confirmed).fewest())
                    .as("seed " + seed)
                    .isGreaterThanOrEqualTo(4);
        }
    }

    /** Nobody is there to hand over to: it ends all the same. */
    @Test
    void aCoreThatLeavesWaitsForNobodyForLong() {
        final MembershipTestContext context = fleet(1, 3, 1, 1);
        context.nodes.values().forEach(MembershipTestContext.TestNode::start);
        context.run(15_000);
        context.nodes.get("c0").stop();
        context.nodes.get("c1").stop();
        context.nodes.get("c2").leaveGracefullyForGood();
        context.run(context.nowMs() + 1200);
        assertThat(context.nodes.get("c2").gone).isTrue();
    }
}
