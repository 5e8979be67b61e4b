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
    private static long number(final byte[] value) {
        return value == null ? 0 : Long.parseLong(new String(value, StandardCharsets.UTF_8));
    }

    private static MembershipTestContext fleet(final long seed, final int cores, final int edges, final double told) {
        final MembershipTestContext bench = new MembershipTestContext(seed);
        final List<String> names = new ArrayList<>();
        for (int i = 0; i < cores; i++) {
            names.add(bench.machine("c" + i, true, bench.random.nextDouble() < told).name);
        }
        for (int i = 0; i < edges; i++) {
            names.add(bench.machine("e" + i, false, bench.random.nextDouble() < told).name);
        }
        java.util.Collections.shuffle(names, bench.random);
        bench.seeds.addAll(names.subList(0, Math.min(names.size(), 1 + bench.random.nextInt(3))));
        return bench;
    }

    /** Whatever comes late, restarts or is lost on the way: there is one first generation at most. */
    @Test
    void noFleetIsFoundedTwice() {
        int founded = 0;
        for (int seed = 0; seed < 200; seed++) {
            final MembershipTestContext bench = fleet(seed, 1 + seed % 7, 1 + seed % 3, 0.85);
            bench.loss = 0.1 * (seed % 5);
            for (final MembershipTestContext.Machine m : bench.machines.values()) {
                bench.clock.after(bench.random.nextInt(bench.random.nextBoolean() ? 500 : 6000), m::start);
            }
            for (int i = bench.random.nextInt(5); i > 0; i--) {
                final List<MembershipTestContext.Machine> all = List.copyOf(bench.machines.values());
                final MembershipTestContext.Machine m = all.get(bench.random.nextInt(all.size()));
                bench.clock.after(1500 + bench.random.nextInt(5000), () -> {
                    if (m.up) {
                        m.stop();
                        bench.clock.after(bench.random.nextInt(800), m::start);
                    }
                });
            }
            bench.run(12_000);
            bench.loss = 0;
            bench.run(30_000);
            assertThat(bench.founded.getOrDefault(0L, java.util.Set.of()))
                    .as(seed + " " + bench.shown())
                    .hasSizeLessThanOrEqualTo(1);
            if (!bench.founded.isEmpty()) {
                assertThat(bench.whole()).as(seed + " " + bench.shown()).isTrue();
                founded++;
            }
        }
        assertThat(founded).isGreaterThan(100);
    }

    /** Lives that are wrongly told they are the first are what the look at two foundings must find. */
    @Test
    void seedsThatForgetWhatTheyPromisedWouldBeFound() {
        int twice = 0;
        for (int seed = 0; seed < 60; seed++) {
            final MembershipTestContext bench = fleet(seed, 4, 3, 1);
            bench.seeds.clear();
            bench.seeds.addAll(List.of("e0", "e1", "e2"));
            bench.alwaysFirst = true;
            bench.deafEdges = true;
            bench.loss = 0.4;
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            for (int at = 2000; at < 9000; at += 100) {
                final MembershipTestContext.Machine edge = bench.machines.get("e" + bench.random.nextInt(3));
                bench.clock.after(at, () -> {
                    edge.stop();
                    edge.start();
                });
            }
            bench.run(12_000);
            twice += bench.founded.getOrDefault(0L, java.util.Set.of()).size() > 1 ? 1 : 0;
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
                    true,
                    (to, message) -> sent.add((BootstrapMessage) message),
                    () -> null,
                    Runnable::run));
        }
        final ProposalNumber one = new ProposalNumber(1, "a");
        final ProposalNumber two = new ProposalNumber(2, "b");
        final InitialState first = new InitialState(new VoterSet(7, 1, List.of(new Voter("a", "a", "x"))), List.of());
        final InitialState second = new InitialState(new VoterSet(8, 1, List.of(new Voter("b", "b", "y"))), List.of());
        councils.get(0).hear(new BootstrapMessage.Prepare("a", seeds, one));
        councils.get(1).hear(new BootstrapMessage.Prepare("a", seeds, one));
        councils.get(0).hear(new BootstrapMessage.Accept("a", seeds, one, first));
        councils.get(1).hear(new BootstrapMessage.Accept("a", seeds, one, first));
        assertThat(sent)
                .filteredOn(n -> n instanceof BootstrapMessage.Accepted t && t.yes())
                .hasSize(2);
        sent.clear();
        councils.set(
                1,
                new BootstrapAcceptor(
                        "s1",
                        seeds,
                        false,
                        (to, message) -> sent.add((BootstrapMessage) message),
                        () -> null,
                        Runnable::run));
        councils.get(1).hear(new BootstrapMessage.Prepare("b", seeds, two));
        councils.get(2).hear(new BootstrapMessage.Prepare("b", seeds, two));
        councils.get(1).hear(new BootstrapMessage.Accept("b", seeds, two, second));
        councils.get(2).hear(new BootstrapMessage.Accept("b", seeds, two, second));
        assertThat(sent)
                .as("one seed of three")
                .filteredOn(n -> n instanceof BootstrapMessage.Promise)
                .hasSize(1);
        assertThat(sent).filteredOn(n -> n instanceof BootstrapMessage.Accepted).hasSize(1);
        sent.clear();
        councils.get(0).hear(new BootstrapMessage.Prepare("b", seeds, two));
        assertThat(sent)
                .first()
                .isInstanceOfSatisfying(
                        BootstrapMessage.Promise.class,
                        p -> assertThat(p.founding()).isEqualTo(first));
        sent.clear();
        councils.get(0).hear(new BootstrapMessage.Prepare("b", List.of("s0", "s1", "s9"), new ProposalNumber(3, "b")));
        assertThat(sent).as("whoever goes by other seeds gets no vote").isEmpty();
    }

    /** Cores come under new names and lose disks; numbers that were agreed stand, and none stands for two changes. */
    @Test
    void whatWasAgreedStandsWhileVotersAreAddedAndSwapped() {
        long changes = 0;
        for (int seed = 0; seed < 40; seed++) {
            final MembershipTestContext bench = fleet(seed, 2 + seed % 3, 2, 1);
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            bench.run(8000);
            assertThat(bench.whole()).as(seed + " " + bench.shown()).isTrue();
            bench.loss = 0.05 * (seed % 4);
            final List<Long> done = new ArrayList<>();
            for (int at = 0; at < 30_000; at += 350) {
                final MembershipTestContext.Machine by = bench.machines.get("e" + bench.random.nextInt(2));
                bench.clock.after(at, () -> {
                    final long floor =
                            done.stream().mapToLong(Long::longValue).max().orElse(0);
                    by.proposer.propose(
                            "count",
                            2500,
                            now -> new RegisterEdit.Set(
                                    Long.toString(number(now) + 1).getBytes(StandardCharsets.UTF_8)),
                            o -> {
                                if (o instanceof ProposalOutcome.Committed d && d.wrote()) {
                                    assertThat(number(d.value())).isGreaterThan(floor);
                                    done.add(number(d.value()));
                                }
                            });
                });
            }
            for (int i = 0; i < 5; i++) {
                final MembershipTestContext.Machine fresh = bench.machine("n" + i, true, false);
                bench.clock.after(bench.random.nextInt(12_000), fresh::start);
            }
            for (int i = 0; i < 3; i++) {
                bench.clock.after(14_000 + i * 6000, () -> {
                    // No more than one disk at a time, so that a majority with state stays.
                    final List<MembershipTestContext.Machine> cores = bench.cores();
                    final MembershipTestContext.Machine m = cores.get(bench.random.nextInt(cores.size()));
                    if (bench.whole() && cores.size() > 2) {
                        m.wipe();
                        bench.clock.after(500, m::start);
                    }
                });
            }
            bench.run(bench.nowMs() + 32_000);
            bench.loss = 0;
            bench.run(bench.nowMs() + 8000);
            assertThat(bench.whole()).as(seed + " " + bench.shown()).isTrue();
            assertThat(bench.founded).as(seed + " one generation").hasSize(1);
            assertThat(done)
                    .as("no number stands for two changes, seed " + seed)
                    .doesNotHaveDuplicates();
            changes += done.size();
        }
        assertThat(changes).isGreaterThan(2000);
    }

    @Test
    void aCoreUnderANewNameVotesWithinASecondOfHearingTheTable() {
        final MembershipTestContext bench = fleet(1, 3, 1, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        final MembershipTestContext.Machine fresh = bench.machine("n0", true, false);
        fresh.start();
        long heardMs = -1;
        while (fresh.acceptor.state() != Acceptor.State.VOTING && bench.nowMs() < 25_000) {
            bench.run(bench.nowMs() + 10);
            heardMs = heardMs < 0 && fresh.proposer.voterSet() != null ? bench.nowMs() : heardMs;
        }
        assertThat(heardMs).isPositive();
        assertThat(bench.nowMs() - heardMs).isLessThan(1000);
    }

    @Test
    void aCoreThatIsNotToldOfAFirstStartWaitsForATable() {
        final MembershipTestContext bench = fleet(3, 3, 2, 0);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(60_000);
        assertThat(bench.founded).isEmpty();
        assertThat(bench.cores()).allMatch(m -> m.acceptor.state() == Acceptor.State.BLANK);
    }

    /** A core that is told again that it is the first, by whoever restarts it, has a disk that knows better. */
    @Test
    void aSeedWithADiskNeverVotesInTwoLivesWhateverItIsTold() {
        for (int seed = 0; seed < 60; seed++) {
            final MembershipTestContext bench = fleet(seed, 5, 1, 1);
            bench.seeds.clear();
            bench.seeds.addAll(List.of("c0", "c1", "c2"));
            bench.alwaysFirst = true;
            bench.loss = 0.4;
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            for (int at = 0; at < 9000; at += 400) {
                final MembershipTestContext.Machine core = bench.machines.get("c" + bench.random.nextInt(3));
                bench.clock.after(at + bench.random.nextInt(400), () -> {
                    core.stop();
                    core.start();
                });
            }
            bench.run(20_000);
            assertThat(bench.founded.getOrDefault(0L, java.util.Set.of()))
                    .as(seed + " " + bench.shown())
                    .hasSizeLessThanOrEqualTo(1);
        }
    }

    /** Most disks go, perhaps all, while cores under new names come: each generation ends in one other at most. */
    @Test
    void aGenerationIsFollowedByOneOnlyWhileVotersAreAdded() {
        int more = 0;
        for (int seed = 0; seed < 60; seed++) {
            final MembershipTestContext bench = fleet(seed, 2 + seed % 4, 2, 1);
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            bench.run(8000);
            bench.loss = 0.1 * (seed % 4);
            for (int i = 0; i < 4; i++) {
                final MembershipTestContext.Machine fresh = bench.machine("n" + i, true, false);
                bench.clock.after(bench.random.nextInt(8000), fresh::start);
            }
            for (int times = 0; times < 2; times++) {
                bench.clock.after(times * 5000 + bench.random.nextInt(5000), () -> {
                    final List<MembershipTestContext.Machine> cores = new ArrayList<>(bench.cores());
                    java.util.Collections.shuffle(cores, bench.random);
                    for (final MembershipTestContext.Machine m :
                            cores.subList(0, 1 + bench.random.nextInt(cores.size()))) {
                        if (bench.random.nextInt(4) > 0) {
                            m.wipe();
                        } else {
                            m.stop();
                        }
                        bench.clock.after(bench.random.nextInt(4000), () -> {
                            if (!m.up) {
                                m.start();
                            }
                        });
                    }
                });
            }
            bench.run(bench.nowMs() + 14_000);
            bench.loss = 0;
            bench.run(bench.nowMs() + 25_000);
            final String shown = seed + " " + bench.shown() + " " + bench.founded;
            assertThat(bench.founded.values())
                    .as(shown)
                    .allSatisfy(g -> assertThat(g).hasSize(1));
            assertThat(bench.whole()).as(shown).isTrue();
            more += bench.founded.size() > 1 ? 1 : 0;
        }
        assertThat(more).isGreaterThan(20);
    }

    /** Six cores that have settled say no more than a note a second to each other, without their table. */
    @Test
    void aSettledFleetSaysLittle() {
        final MembershipTestContext bench = fleet(1, 6, 6, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        final long messages = bench.messages;
        final long tables = bench.tables;
        bench.run(25_000);
        assertThat(bench.messages - messages).isLessThanOrEqualTo(6 * 5 * 11);
        assertThat(bench.tables - tables).isZero();
    }

    /** Six machines go for good one after another, each followed by an empty one under another name and address. */
    @Test
    void aMachineThatIsReplacedLeavesNoVoterBehind() {
        final MembershipTestContext bench = fleet(1, 6, 2, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        for (int i = 0; i < 6; i++) {
            bench.machines.get("c" + i).goForGood();
            bench.run(bench.nowMs() + 1000);
            bench.machine("n" + i, true, false).start();
            bench.run(bench.nowMs() + 4000);
            assertThat(bench.whole()).as(i + " " + bench.shown()).isTrue();
            assertThat(bench.newest().voters()).hasSize(6);
        }
        assertThat(bench.founded).hasSize(1);
    }

    /** As when each new machine comes before the old one leaves: one seat more, and no more than that. */
    @Test
    void aMachineThatIsReplacedInOrderLeavesNoMoreThanOneVoterBehind() {
        final MembershipTestContext bench = fleet(1, 6, 2, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        for (int i = 0; i < 6; i++) {
            bench.machine("n" + i, true, false).start();
            bench.run(bench.nowMs() + 4000);
            assertThat(bench.whole()).as(i + " " + bench.shown()).isTrue();
            bench.machines.get("c" + i).goForGood();
            bench.run(bench.nowMs() + 4000);
            assertThat(bench.newest().voters()).hasSize(7);
        }
        assertThat(bench.founded).hasSize(1);
    }

    /** A seat whose core never comes back is given up, and the core that does come back has no vote by its old disk. */
    @Test
    void aVoterLongSilentIsGivenUpAndItsDiskHasNoVoteWhenItIsBack() {
        final MembershipTestContext bench = fleet(1, 6, 2, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        final MembershipTestContext.Machine away = bench.machines.get("c2");
        final String disk = away.acceptor.diskId();
        away.stop();
        bench.run(bench.nowMs() + 28_000);
        assertThat(bench.newest().voters()).as("not yet").hasSize(6);
        bench.run(bench.nowMs() + 6000);
        assertThat(bench.newest().voters()).hasSize(5);
        assertThat(bench.newest().voter("c2")).isNull();
        away.start();
        bench.run(bench.nowMs() + 4000);
        assertThat(bench.whole()).as(bench.shown()).isTrue();
        assertThat(bench.newest().voter("c2").diskId())
                .isEqualTo(away.acceptor.diskId())
                .isNotEqualTo(disk);
    }

    /** Of four seats one may be given up where one loss must be borne; of two none is. */
    @Test
    void noVoterIsGivenUpBelowWhatMustBeBorne() {
        final MembershipTestContext bench = fleet(1, 4, 2, 1);
        bench.regions = true;
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        bench.machines.get("c1").stop();
        bench.run(bench.nowMs() + 60_000);
        assertThat(bench.newest().voters()).as("c0 and c3 are of one region").hasSize(4);
    }

    /** Half of the disks are gone, so a new generation is founded; the other half's are slow, but nothing is left behind. */
    @Test
    void aFoundingWaitsForACoreWithStateThatIsMerelySlow() {
        for (int seed = 0; seed < 10; seed++) {
            final MembershipTestContext bench = fleet(seed, 6, 2, 1);
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            bench.run(15_000);
            for (int i = 0; i < 3; i++) {
                bench.machines.get("c" + i).wipe();
                bench.machines.get("c" + (i + 3)).slowDisk(700 + 150 * i);
            }
            bench.run(bench.nowMs() + 1000);
            for (int i = 0; i < 3; i++) {
                bench.machines.get("c" + i).start();
            }
            bench.run(bench.nowMs() + 30_000);
            final long first = bench.founded.get(0L).iterator().next();
            assertThat(bench.founded.get(first)).as(bench.shown()).hasSize(1);
            final long second = bench.founded.get(first).iterator().next();
            assertThat(bench.mergedFrom.get(second)).as("seed " + seed).containsExactlyInAnyOrder("c3", "c4", "c5");
            assertThat(bench.whole()).as(bench.shown()).isTrue();
        }
    }

    /** Whoever proposes a founding dies after the others promised: they have resigned, and the next one needs their state. */
    @Test
    void aFoundingThatIsInterruptedLeavesNoStateBehind() {
        for (int seed = 0; seed < 20; seed++) {
            final MembershipTestContext bench = fleet(seed, 6, 2, 1);
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            bench.run(15_000);
            for (int i = 0; i < 3; i++) {
                bench.machines.get("c" + i).wipe();
                bench.machines.get("c" + i).start();
            }
            final MembershipTestContext.Machine some = bench.machines.get("c4");
            while (some.acceptor.state() != Acceptor.State.RESIGNED && bench.nowMs() < 40_000) {
                bench.run(bench.nowMs() + 5);
            }
            bench.run(bench.nowMs() + bench.random.nextInt(150));
            for (int i = 0; i < 3; i++) {
                bench.machines.get("c" + i).stop();
            }
            bench.run(bench.nowMs() + bench.random.nextInt(4000));
            for (int i = 0; i < 3; i++) {
                bench.machines.get("c" + i).start();
            }
            bench.run(bench.nowMs() + 20_000);
            final long first = bench.founded.get(0L).iterator().next();
            assertThat(bench.founded.get(first)).as(bench.shown()).hasSize(1);
            final long second = bench.founded.get(first).iterator().next();
            assertThat(bench.mergedFrom.get(second)).as("seed " + seed).containsExactlyInAnyOrder("c3", "c4", "c5");
            assertThat(bench.whole()).as(bench.shown()).isTrue();
        }
    }

    /** A core with state whose disk has stopped is waited for, but not for ever. */
    @Test
    void aFoundingDoesNotWaitForEver() {
        final MembershipTestContext bench = fleet(1, 6, 2, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        for (int i = 0; i < 3; i++) {
            bench.machines.get("c" + i).wipe();
        }
        bench.machines.get("c3").slowDisk(1_000_000);
        bench.run(bench.nowMs() + 1000);
        for (int i = 0; i < 3; i++) {
            bench.machines.get("c" + i).start();
        }
        bench.run(bench.nowMs() + 30_000);
        assertThat(bench.founded).as(bench.shown()).hasSizeGreaterThan(1);
    }

    /** Values are accepted by four of six only, one of which leaves in order: a majority without it has them. */
    @Test
    void aCoreThatLeavesInOrderLeavesWhatItAcceptedWithAMajority() {
        for (int seed = 0; seed < 20; seed++) {
            final MembershipTestContext bench = fleet(seed, 6, 2, 1);
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            bench.run(15_000);
            for (final String from : List.of("e0", "c0", "c1", "c2", "c3")) {
                bench.cut.add(from + ">c4");
                bench.cut.add(from + ">c5");
            }
            final java.util.Map<String, String> confirmed = new java.util.TreeMap<>();
            for (int i = 0; i < 20; i++) {
                final String key = "once/" + i;
                bench.machines
                        .get("e0")
                        .proposer
                        .propose(
                                key,
                                3000,
                                now -> now == null ? new RegisterEdit.Set(key.getBytes(UTF_8)) : RegisterEdit.LEAVE,
                                o -> {
                                    if (o instanceof ProposalOutcome.Committed) {
                                        confirmed.put(key, key);
                                    }
                                });
            }
            bench.run(bench.nowMs() + 1000);
            assertThat(confirmed).hasSize(20);
            assertThat(bench.copies(confirmed).fewest()).isEqualTo(4);
            bench.cut.clear();
            bench.machines.get("c" + seed % 4).leaveForGood();
            bench.run(bench.nowMs() + 1000);
            assertThat(bench.machines.get("c" + seed % 4).gone).isTrue();
            assertThat(bench.copies(confirmed).fewest()).as("seed " + seed).isGreaterThanOrEqualTo(4);
        }
    }

    /** Nobody is there to hand over to: it ends all the same. */
    @Test
    void aCoreThatLeavesWaitsForNobodyForLong() {
        final MembershipTestContext bench = fleet(1, 3, 1, 1);
        bench.machines.values().forEach(MembershipTestContext.Machine::start);
        bench.run(15_000);
        bench.machines.get("c0").stop();
        bench.machines.get("c1").stop();
        bench.machines.get("c2").leaveForGood();
        bench.run(bench.nowMs() + 1200);
        assertThat(bench.machines.get("c2").gone).isTrue();
    }
}
