package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spokestall.consensus.Acceptor;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;
import spokestall.consensus.VoterSet;

/**
 * A fleet in three regions through losses drawn from a seed, never more of them at once than must be borne (a region): disks
 * wiped, machines replaced out of order and in order, twice over, killed, cut off, all killed. Two proposers at a time write
 * each value once. No value is confirmed twice differently, each is on enough disks after every step, no second generation is
 * ever founded, and everyone votes by the time the next loss may come.
 */
class MembershipModelTest {
    private static final int CATCH_UP_MS = 4000;
    /** As long with one note in twelve lost, which wires would have sent again. */
    private static final int CATCH_UP_LOSSY_MS = 6000;

    private static final int SEEDS = Integer.getInteger("seeds", 12);
    private static final int CORES = 6;
    private static final int REGIONS = 3;
    private static final int ERRORS = 9;

    /** The faults planted, all off by default. */
    private static void none(final MembershipTestContext bench) {}

    /** One seed's run. */
    private static final class Run {
        private final long seed;
        private final MembershipTestContext bench;
        private final Map<String, String> confirmed = new TreeMap<>();
        private final int[] made = new int[REGIONS];
        private int writes;
        private int calmCopies = Integer.MAX_VALUE;
        private int leastCopies = Integer.MAX_VALUE;

        Run(final long seed, final Consumer<MembershipTestContext> injectedFault) {
            this.seed = seed;
            bench = new MembershipTestContext(seed);
            bench.regions = true;
            for (int i = 0; i < CORES; i++) {
                fresh(i % REGIONS).bootstrap = true;
            }
            for (int i = 0; i < 3; i++) {
                bench.machine("e" + i, false, true);
                bench.seeds.add("e" + i);
            }
            bench.machines.values().forEach(MembershipTestContext.Machine::start);
            bench.run(12_000);
            injectedFault.accept(bench);
            bench.loss = 0.04 * (seed % 3);
        }

        private MembershipTestContext.Machine fresh(final int region) {
            return bench.machine("c" + (region + REGIONS * made[region]++), true, false);
        }

        private int random(final int bound) {
            return bench.random.nextInt(bound);
        }

        private String shown() {
            return "seed " + seed + " " + bench.shown() + "\n" + bench.newest();
        }

        private void write() {
            final String key = "once/" + writes++;
            for (int i = 0; i < 2; i++) {
                final MembershipTestContext.Machine by = bench.machines.get("e" + i);
                final String value = key + " by " + by.name;
                by.proposer.propose(
                        key,
                        2500,
                        now -> now == null
                                ? new RegisterEdit.Set(value.getBytes(StandardCharsets.UTF_8))
                                : RegisterEdit.LEAVE,
                        outcome -> confirm(key, outcome));
            }
        }

        private void confirm(final String key, final ProposalOutcome outcome) {
            if (outcome instanceof ProposalOutcome.Committed done && done.value() != null) {
                final String value = new String(done.value(), StandardCharsets.UTF_8);
                assertThat(confirmed.getOrDefault(key, value)).as(shown()).isEqualTo(value);
                confirmed.put(key, value);
            }
        }

        private void look() {
            final MembershipTestContext.Copies copies = bench.copies(confirmed);
            assertThat(copies.fewest()).as("%s %s", copies, shown()).isGreaterThanOrEqualTo(Math.max(1, copies.owed()));
            leastCopies = Math.min(leastCopies, copies.fewest());
        }

        /** Goes on, with a write now and then and a look at the copies here and there and at its end. */
        private void pass(final long spanMs) {
            final long untilMs = bench.nowMs() + spanMs;
            while (bench.nowMs() < untilMs) {
                write();
                bench.run(Math.min(untilMs, bench.nowMs() + 50 + random(300)));
                if (random(4) == 0) {
                    look();
                }
            }
            look();
        }

        /** The span after which whoever came back or is new no longer counts as lost. */
        private void calm() {
            pass(bench.loss == 0 ? CATCH_UP_MS : CATCH_UP_LOSSY_MS);
            assertThat(bearsTheNextLoss()).as(shown()).isTrue();
            assertThat(bench.newest().voters().size())
                    .as(shown())
                    .isLessThanOrEqualTo(bench.cores().size() + 1);
            calmCopies = Math.min(calmCopies, bench.copies(confirmed).fewest());
        }

        /** Whether every seat's core that runs votes, and whichever region goes next, a majority of the seats still does. */
        private boolean bearsTheNextLoss() {
            final VoterSet table = bench.newest();
            final List<MembershipTestContext.Machine> seated = bench.cores().stream()
                    .filter(m -> table.voter(m.name) != null)
                    .toList();
            boolean bears = seated.stream()
                    .allMatch(m -> m.acceptor.state() == Acceptor.State.VOTING
                            && m.acceptor.voterSet().hasEpoch(table.generation(), table.epoch()));
            for (int region = 0; region < REGIONS; region++) {
                final int lost = region;
                bears &= seated.stream().filter(m -> m.region() != lost).count() >= table.majority();
            }
            return bears;
        }

        /** Cores of one region, one or all of them. */
        private List<MembershipTestContext.Machine> some(final int region) {
            final List<MembershipTestContext.Machine> all = new ArrayList<>(
                    bench.cores().stream().filter(m -> m.region() == region).toList());
            java.util.Collections.shuffle(all, bench.random);
            return all.subList(0, 1 + random(all.size()));
        }

        private void wipe(final int region) {
            final List<MembershipTestContext.Machine> some = some(region);
            some.forEach(MembershipTestContext.Machine::wipe);
            comeBack(some);
        }

        private void kill(final int region) {
            final List<MembershipTestContext.Machine> some = some(region);
            some.forEach(MembershipTestContext.Machine::stop);
            comeBack(some);
        }

        private void killAll() {
            final List<MembershipTestContext.Machine> all = bench.cores();
            all.forEach(MembershipTestContext.Machine::stop);
            pass(random(900));
            all.forEach(MembershipTestContext.Machine::start);
        }

        private void comeBack(final List<MembershipTestContext.Machine> some) {
            for (final MembershipTestContext.Machine m : some) {
                pass(random(6000));
                m.start();
            }
        }

        /** Each goes for good; an empty one comes, itself perhaps lost again in mid-repair, with all others of the region. */
        private void replace(final int region) {
            final List<MembershipTestContext.Machine> some = some(region);
            some.forEach(MembershipTestContext.Machine::goForGood);
            pass(random(3000));
            final List<MembershipTestContext.Machine> come = new ArrayList<>();
            some.forEach(m -> come.add(fresh(region)));
            come.forEach(MembershipTestContext.Machine::start);
            if (random(2) == 0) {
                pass(random(4500));
                come.get(0).goForGood();
                final MembershipTestContext.Machine again = fresh(region);
                pass(random(2000));
                again.start();
            }
            if (random(3) == 0) {
                untilItVotes(bench.machines.get("c" + (region + REGIONS * (made[region] - 1))));
                wipe(region);
            }
        }

        private void untilItVotes(final MembershipTestContext.Machine m) {
            for (int i = 0; i < 100 && m.acceptor.state() != Acceptor.State.VOTING; i++) {
                bench.run(bench.nowMs() + 20);
            }
            look();
        }

        /** The new one first, then the old one goes. */
        private void replaceInOrder(final int region) {
            for (final MembershipTestContext.Machine old : some(region)) {
                fresh(region).start();
                pass(500 + random(4000));
                old.leaveForGood();
                pass(1000);
            }
        }

        /** Cut off one way or both, from everyone or from cores only, perhaps restarted meanwhile. */
        private void cut(final int region) {
            final List<MembershipTestContext.Machine> some = some(region);
            final int way = 1 + random(3);
            final boolean coresOnly = random(2) == 0;
            for (final MembershipTestContext.Machine m : some) {
                for (final MembershipTestContext.Machine other : bench.machines.values()) {
                    if (!some.contains(other) && (other.core || !coresOnly)) {
                        addCut(way, m, other);
                    }
                }
            }
            pass(2000 + random(18_000));
            if (random(3) == 0) {
                some.forEach(MembershipTestContext.Machine::stop);
                pass(random(1000));
                some.forEach(MembershipTestContext.Machine::start);
            }
            if (random(3) == 0) {
                // A machine comes while the others are silent, and may take a seat of theirs.
                fresh(region).start();
                pass(random(9000));
                some.get(0).goForGood();
            }
            bench.cut.clear();
            if (random(2) == 0) {
                restartWhileRejoining(some);
            }
        }

        /** A core that was away long enough to lose its seat, perhaps, restarts again and again as it gets one anew. */
        private void restartWhileRejoining(final List<MembershipTestContext.Machine> some) {
            final List<MembershipTestContext.Machine> up =
                    some.stream().filter(m -> !m.gone).toList();
            for (int i = 0; i < 5; i++) {
                bench.run(bench.nowMs() + random(400));
                up.forEach(MembershipTestContext.Machine::stop);
                bench.run(bench.nowMs() + random(60));
                up.forEach(MembershipTestContext.Machine::start);
            }
        }

        private void addCut(
                final int way, final MembershipTestContext.Machine m, final MembershipTestContext.Machine other) {
            if ((way & 1) > 0) {
                bench.cut.add(m.name + ">" + other.name);
            }
            if ((way & 2) > 0) {
                bench.cut.add(other.name + ">" + m.name);
            }
        }

        private void error() {
            final int region = random(REGIONS);
            switch (random(6)) {
                case 0 -> wipe(region);
                case 1 -> kill(region);
                case 2 -> killAll();
                case 3 -> replace(region);
                case 4 -> replaceInOrder(region);
                default -> cut(region);
            }
        }

        Run all() {
            calm();
            for (int i = 0; i < ERRORS; i++) {
                error();
                calm();
            }
            bench.loss = 0;
            calm();
            readBack();
            assertThat(bench.founded).as(shown()).hasSize(1);
            return this;
        }

        private void readBack() {
            bench.run(bench.nowMs() + 3000);
            final Map<String, String> read = new TreeMap<>();
            confirmed
                    .keySet()
                    .forEach(key -> bench.machines.get("e2").proposer.read(key, 3000, outcome -> {
                        if (outcome instanceof ProposalOutcome.Committed done) {
                            read.put(key, new String(done.value(), StandardCharsets.UTF_8));
                        }
                    }));
            bench.run(bench.nowMs() + 4000);
            assertThat(read).as(shown()).isEqualTo(confirmed);
        }
    }

    @Test
    void whatWasConfirmedStandsThroughEveryLossThatMustBeBorne() {
        int writes = 0;
        int least = Integer.MAX_VALUE;
        for (int seed = 0; seed < SEEDS; seed++) {
            final Run run = new Run(seed, MembershipModelTest::none).all();
            writes += run.confirmed.size();
            least = Math.min(least, run.leastCopies);
            assertThat(run.calmCopies).as("copies in calm times, seed " + seed).isGreaterThanOrEqualTo(3);
        }
        assertThat(writes).isGreaterThan(SEEDS * 150);
        assertThat(least).isPositive();
        System.out.printf("%d seeds, %d confirmed, %d copies at the least%n", SEEDS, writes, least);
    }

    private static int found(final int seeds, final Consumer<MembershipTestContext> injectedFault) {
        int found = 0;
        for (int seed = 0; seed < seeds; seed++) {
            try {
                new Run(seed, injectedFault).all();
            } catch (final AssertionError e) {
                found++;
            }
        }
        return found;
    }

    @Test
    void aJoinerThatVotesBeforeItCaughtUpWouldBeFound() {
        assertThat(found(4, bench -> bench.emptyPages = true)).isPositive();
    }
}
