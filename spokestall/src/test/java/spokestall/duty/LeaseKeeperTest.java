package spokestall.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.ballot.BallotBench;

class LeaseKeeperTest {
    private static final LeaseKeeper.Pace PACE = new LeaseKeeper.Pace(2000, 400, 800, 200, 100, 20_000);

    /** Keepers in a lossy network, now and then stopped in the middle of things: never two may work, tokens rise. */
    @Test
    void neverMayTwoWorkAndTheTokenRisesWithEachHolder() {
        int held = 0;
        for (int seed = 0; seed < 20; seed++) {
            final BallotBench bench = new BallotBench(seed, 0.1);
            final List<Execution> all = new ArrayList<>();
            final long[] frozenUntilMs = new long[4];
            for (int k = 0; k < 4; k++) {
                final int number = k;
                final LeaseKeeper keeper = new LeaseKeeper("usage_report", "k" + k, bench.proposer("k" + k),
                        bench.clock, bench.random, PACE, execution -> {
                            assertThat(all).allSatisfy(e -> {
                                assertThat(e.token()).isLessThan(execution.token());
                                assertThat(e.owner()).isNotEqualTo(execution.owner());
                            });
                            all.add(execution);
                        });
                final Runnable beat = new Runnable() {
                    @Override
                    public void run() {
                        bench.clock.after(100, this);
                        if (bench.clock.nowMs() >= frozenUntilMs[number]) {
                            keeper.tick();
                        }
                    }
                };
                bench.clock.after(bench.random.nextInt(100), beat);
            }
            for (int i = 0; i < 10; i++) {
                bench.clock.after(bench.random.nextInt(50_000), () ->
                        frozenUntilMs[bench.random.nextInt(4)] = bench.clock.nowMs() + 1000 + bench.random.nextInt(5000));
                bench.clock.after(bench.random.nextInt(50_000), () -> bench.bounce(bench.random.nextInt(6)));
            }
            for (long atMs = 200; atMs < 60_000; atMs += 20) {
                bench.run(atMs);
                final long nowMs = bench.clock.nowMs();
                assertThat(all.stream().filter(e -> e.mayWork(nowMs)).count()).isLessThanOrEqualTo(1);
            }
            held += all.size();
        }
        assertThat(held).isGreaterThan(60);
    }

    /** A lease that is not there may have been lost with its disks while its holder still works. */
    @Test
    void noLeaseAtAllIsWatchedForTheWholeSpanBeforeItIsTaken() {
        final BallotBench bench = new BallotBench(1, 0);
        final long[] begunMs = {-1};
        final LeaseKeeper keeper = new LeaseKeeper("usage_report", "k", bench.proposer("k"), bench.clock, bench.random,
                PACE, execution -> begunMs[0] = bench.clock.nowMs());
        final long fromMs = bench.clock.nowMs();
        for (long atMs = fromMs; atMs < fromMs + 6000; atMs += 50) {
            bench.run(atMs);
            keeper.tick();
        }
        assertThat(begunMs[0] - fromMs).isBetween(PACE.leaseMs() + PACE.marginMs(), 2 * PACE.leaseMs());
    }
}
