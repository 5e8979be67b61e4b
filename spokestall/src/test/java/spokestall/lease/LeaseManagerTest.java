package spokestall.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import spokestall.consensus.ConsensusTestContext;
import spokestall.consensus.ProposalNumber;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.Proposer;
import spokestall.consensus.Register;
import spokestall.consensus.RegisterEdit;
import spokestall.message.MessageCodec;

class LeaseManagerTest {
    private static final LeaseManager.Timing TIMING = new LeaseManager.Timing(2000, 400, 800, 200, 100, 20_000, 0);
    private static final long LOOKED_AT_MS = 3000;
    /** Rivals come one after another, by the six seats of the bench. */
    private static final long TURNS_MAX_MS = 6 * TIMING.turnMs();

    /** Keepers in a lossy network, now and then stopped in the middle of things: never two may work, tokens rise. */
    @Test
    void neverMayTwoWorkAndTheTokenRisesWithEachHolder() {
        assertThat(held(false)).isGreaterThan(60);
    }

    /** The same with copies of the register: one right, one late, one that never changes, and one now and then missing. */
    @Test
    void copiesThatAreLateOrStandStillMakeNoTwoHolders() {
        assertThat(held(true)).isGreaterThan(60);
    }

    private static Supplier<Register> copy(final ConsensusTestContext bench, final int number) {
        final Proposer reader = bench.proposer("r" + number);
        final ArrayDeque<Register> late = new ArrayDeque<>(List.of(register(null)));
        final Runnable look = new Runnable() {
            @Override
            public void run() {
                bench.clock.after(200, this);
                reader.read(Lease.key("usage_report"), 300, outcome -> {
                    if (number != 2 && outcome instanceof ProposalOutcome.Done done) {
                        late.add(register(done.value()));
                        if (late.size() > (number == 1 ? 5 : 1)) {
                            late.poll();
                        }
                    }
                });
            }
        };
        bench.clock.after(1, look);
        return () -> number == 3 && bench.random.nextInt(10) == 0 ? null : late.peek();
    }

    private static Register register(final byte[] value) {
        return new Register(ProposalNumber.NONE, ProposalNumber.NONE, value);
    }

    private static int held(final boolean copies) {
        int held = 0;
        for (int seed = 0; seed < 20; seed++) {
            final ConsensusTestContext bench = new ConsensusTestContext(seed, 0.1);
            final List<LeaseSession> all = new ArrayList<>();
            final long[] frozenUntilMs = new long[4];
            for (int k = 0; k < 4; k++) {
                final int number = k;
                final LeaseManager leaseManager = new LeaseManager(
                        "usage_report",
                        "k" + k,
                        bench.proposer("k" + k),
                        bench.clock,
                        bench.random,
                        TIMING,
                        execution -> {
                            assertThat(all).allSatisfy(e -> {
                                assertThat(e.token()).isLessThan(execution.token());
                                assertThat(e.owner()).isNotEqualTo(execution.owner());
                            });
                            all.add(execution);
                        },
                        copies ? copy(bench, k) : () -> null);
                final Runnable tick = new Runnable() {
                    @Override
                    public void run() {
                        bench.clock.after(100, this);
                        if (bench.clock.nowMs() >= frozenUntilMs[number]) {
                            leaseManager.tick();
                        }
                    }
                };
                bench.clock.after(bench.random.nextInt(100), tick);
            }
            for (int i = 0; i < 10; i++) {
                bench.clock.after(
                        bench.random.nextInt(50_000),
                        () -> frozenUntilMs[bench.random.nextInt(4)] =
                                bench.clock.nowMs() + 1000 + bench.random.nextInt(5000));
                bench.clock.after(bench.random.nextInt(50_000), () -> bench.bounce(bench.random.nextInt(6)));
            }
            for (long atMs = 200; atMs < 60_000; atMs += 20) {
                bench.run(atMs);
                final long nowMs = bench.clock.nowMs();
                assertThat(all.stream().filter(e -> e.mayWork(nowMs)).count()).isLessThanOrEqualTo(1);
            }
            held += all.size();
        }
        return held;
    }

    /** A holder that renews is watched by the copy alone; once it stops, the store is asked before it is taken over. */
    @Test
    void theStoreIsAskedOnlyOnceTheCopyStoodStillForTheWholeSpan() {
        final ConsensusTestContext bench = new ConsensusTestContext(2, 0);
        final Proposer writer = bench.proposer("w");
        final byte[][] copy = {null};
        final long[] renewal = {0};
        final long[] renewedMs = {0};
        final Runnable renew = () -> writer.change(
                Lease.key("usage_report"),
                800,
                value -> new RegisterEdit.Set(
                        MessageCodec.encodeRecord(new Lease("w/1", "w", ++renewal[0], 1, 2000, false))),
                outcome -> {
                    copy[0] = ((ProposalOutcome.Done) outcome).value();
                    renewedMs[0] = bench.clock.nowMs();
                });
        renew.run();
        bench.run(bench.clock.nowMs() + 300);
        final long[] begunMs = {-1};
        final LeaseManager leaseManager = new LeaseManager(
                "usage_report",
                "k",
                bench.proposer("k"),
                bench.clock,
                bench.random,
                TIMING,
                execution -> begunMs[0] = bench.clock.nowMs(),
                () -> register(copy[0]));
        for (int i = 0; i < 100; i++) {
            if (i % 4 == 0) {
                renew.run();
            }
            leaseManager.tick();
            bench.run(bench.clock.nowMs() + 100);
            assertThat(begunMs[0]).isNegative();
        }
        final long stoppedMs = renewedMs[0];
        while (begunMs[0] < 0 && bench.clock.nowMs() < stoppedMs + 6000) {
            leaseManager.tick();
            bench.run(bench.clock.nowMs() + 50);
        }
        assertThat(leaseManager.seen().token()).isGreaterThan(1);
        assertThat(begunMs[0] - stoppedMs).isBetween(TIMING.leaseMs() + TIMING.marginMs(), 2 * TIMING.leaseMs());
    }

    /** A lease that is not there may have been lost with its disks while its holder still works. */
    @Test
    void noLeaseAtAllIsWatchedForTheWholeSpanBeforeItIsTaken() {
        final ConsensusTestContext bench = new ConsensusTestContext(1, 0);
        final long[] begunMs = {-1};
        final LeaseManager leaseManager = new LeaseManager(
                "usage_report",
                "k",
                bench.proposer("k"),
                bench.clock,
                bench.random,
                TIMING,
                execution -> begunMs[0] = bench.clock.nowMs());
        final long fromMs = bench.clock.nowMs();
        for (long atMs = fromMs; atMs < fromMs + 6000; atMs += 50) {
            bench.run(atMs);
            leaseManager.tick();
        }
        assertThat(begunMs[0] - fromMs).isBetween(TIMING.leaseMs() + TIMING.marginMs(), 2 * TIMING.leaseMs());
    }

    private static final LeaseManager.Timing RESTING = new LeaseManager.Timing(2000, 400, 800, 200, 100, 20_000, 3600);

    /** One life of a node: its keeper, what it began, and until when it may have acted. */
    private static final class Incarnation implements LeaseManager.Work {
        private final ConsensusTestContext bench;
        private final String name;
        private final LeaseManager leaseManager;
        private final List<LeaseSession> begun = new ArrayList<>();
        private boolean callsOpen;

        Incarnation(
                final ConsensusTestContext bench,
                final String name,
                final int number,
                final LeaseManager.Timing timing) {
            this.bench = bench;
            this.name = name;
            this.leaseManager = new LeaseManager(
                    "usage_report", name, bench.proposer(name + "." + number), bench.clock, bench.random, timing, this);
        }

        @Override
        public void begin(final LeaseSession execution) {
            begun.add(execution);
        }

        @Override
        public boolean idle() {
            return !callsOpen;
        }

        boolean acts() {
            return !begun.isEmpty() && begun.get(begun.size() - 1).mayWork(bench.clock.nowMs());
        }
    }

    /** Ticks these until one of them begins an execution, and tells how long that took; the whole span if none did. */
    private static long begins(
            final ConsensusTestContext bench,
            final long spanMs,
            final Incarnation awaited,
            final Incarnation... others) {
        final long fromMs = bench.clock.nowMs();
        final int before = awaited.begun.size();
        while (awaited.begun.size() == before && bench.clock.nowMs() < fromMs + spanMs) {
            awaited.leaseManager.tick();
            for (final Incarnation other : others) {
                other.leaseManager.tick();
            }
            bench.run(bench.clock.nowMs() + 20);
        }
        return bench.clock.nowMs() - fromMs;
    }

    /** A holder's process ended and came back before anyone else acquired: nothing is done under its old lease. An acquisition
     * whose outcome came too late is seen like this one. */
    @Test
    void aHolderThatRestartsAcquiresItsOwnLeaseWithoutWaitingForItsExpiry() {
        final ConsensusTestContext bench = new ConsensusTestContext(3, 0);
        final Incarnation before = new Incarnation(bench, "k", 1, RESTING);
        begins(bench, 10_000, before);
        final Incarnation after = new Incarnation(bench, "k", 2, RESTING);
        assertThat(begins(bench, 10_000, after)).isLessThan(TIMING.leaseMs() / 2);
        assertThat(after.begun.get(0).token()).isGreaterThan(before.begun.get(0).token());
    }

    /** A lease of an older generation may have been acquired by another since, which was lost with the disks. */
    @Test
    void aLeaseThatAnOlderGenerationAllottedIsWatchedByItsOwnHolderToo() {
        final ConsensusTestContext bench = new ConsensusTestContext(4, 0);
        bench.proposer("w")
                .change(
                        Lease.key("usage_report"),
                        800,
                        value -> new RegisterEdit.Set(
                                MessageCodec.encodeRecord(new Lease("k/1", "k", 0, 7, TIMING.leaseMs(), false))),
                        outcome -> {});
        bench.run(bench.clock.nowMs() + 500);
        assertThat(begins(bench, 10_000, new Incarnation(bench, "k", 1, TIMING)))
                .isGreaterThanOrEqualTo(TIMING.leaseMs() + TIMING.marginMs());
    }

    /** A node in order hands over: what it released is acquired at once, but not by one that held it a short while ago. */
    @Test
    void aReleasedLeaseIsAcquiredAtOnceButNotByAFormerHolderWithinItsRest() {
        final ConsensusTestContext bench = new ConsensusTestContext(6, 0);
        final Incarnation one = new Incarnation(bench, "k1", 1, RESTING);
        final Incarnation two = new Incarnation(bench, "k2", 1, RESTING);
        begins(bench, 10_000, one);
        begins(bench, RESTING.restMs(), two, one);
        final long stoppedMs = bench.clock.nowMs();
        one.leaseManager.stop(() -> {});
        assertThat(begins(bench, 10_000, two)).isLessThan(TURNS_MAX_MS + TIMING.leaseMs() / 2);
        final Incarnation oneAgain = new Incarnation(bench, "k1", 2, RESTING);
        begins(bench, 500, oneAgain, two);
        two.leaseManager.stop(() -> {});
        begins(bench, 10_000, oneAgain);
        assertThat(oneAgain.begun).hasSize(1);
        assertThat(bench.clock.nowMs() - stoppedMs).isGreaterThanOrEqualTo(RESTING.restMs());
    }

    /** A call that may still arrive keeps the lease from being released: it runs out instead. */
    @Test
    void aHolderWithACallUnderWayLeavesItsLeaseToExpire() {
        final ConsensusTestContext bench = new ConsensusTestContext(7, 0);
        final Incarnation one = new Incarnation(bench, "k1", 1, RESTING);
        final Incarnation two = new Incarnation(bench, "k2", 1, RESTING);
        begins(bench, 10_000, one);
        begins(bench, RESTING.restMs(), two, one);
        one.callsOpen = true;
        one.leaseManager.stop(() -> {});
        assertThat(begins(bench, 10_000, two)).isGreaterThan(TIMING.leaseMs() - TIMING.renewMs());
    }

    /** Holders that end, come back and hand over at any moment: one works at a time, and none follows its successor within the
     * span in which the order of holders is looked at. */
    @Test
    void noHolderComesBackAfterItsSuccessorWithinTheSpanThatIsLookedAt() {
        int held = 0;
        for (int seed = 0; seed < 30; seed++) {
            held += held(seed);
        }
        assertThat(held).isGreaterThan(100);
    }

    private static int held(final long seed) {
        final ConsensusTestContext bench = new ConsensusTestContext(seed, 0.05);
        final List<Incarnation> incarnations = new ArrayList<>();
        final List<String> actors = new ArrayList<>();
        final List<Long> lastActMs = new ArrayList<>();
        for (int k = 0; k < 4; k++) {
            incarnations.add(new Incarnation(bench, "k" + k, 0, RESTING));
        }
        int number = 1;
        for (int tick = 0; tick < 8000; tick++) {
            final long nowMs = bench.clock.nowMs();
            final List<Incarnation> acting =
                    incarnations.stream().filter(Incarnation::acts).toList();
            assertThat(acting).hasSizeLessThanOrEqualTo(1);
            for (final Incarnation incarnation : acting) {
                if (actors.isEmpty() || !actors.get(actors.size() - 1).equals(incarnation.name)) {
                    final int before = actors.lastIndexOf(incarnation.name);
                    assertThat(before < 0 ? Long.MAX_VALUE : nowMs - lastActMs.get(before))
                            .isGreaterThanOrEqualTo(LOOKED_AT_MS);
                    actors.add(incarnation.name);
                    lastActMs.add(nowMs);
                }
                lastActMs.set(lastActMs.size() - 1, nowMs);
            }
            if (bench.random.nextInt(200) == 0) {
                final int of = acting.isEmpty() || bench.random.nextInt(3) == 0
                        ? bench.random.nextInt(incarnations.size())
                        : incarnations.indexOf(acting.get(0));
                final Incarnation old = incarnations.get(of);
                if (bench.random.nextBoolean()) {
                    old.leaseManager.stop(() -> {});
                }
                incarnations.set(of, new Incarnation(bench, old.name, number++, RESTING));
            }
            for (int k = 0; k < incarnations.size(); k++) {
                if ((tick + k) % 10 == 0) {
                    incarnations.get(k).leaseManager.tick();
                }
            }
            bench.run(nowMs + 20);
        }
        return actors.size();
    }
}
