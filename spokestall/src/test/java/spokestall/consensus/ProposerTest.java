package spokestall.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ProposerTest {
    private static long number(final byte[] value) {
        return value == null ? 0 : Long.parseLong(new String(value, StandardCharsets.UTF_8).split(" ")[0]);
    }

    /** Every finished change is seen by all that begin after it, and none is done twice or lost. */
    @Test
    void changesOfOneRegisterStandInOneOrderWhateverTheNetworkAndPowerDo() {
        long finished = 0;
        long unclear = 0;
        for (int seed = 0; seed < 40; seed++) {
            final ConsensusTestContext bench = new ConsensusTestContext(seed, 0.15);
            final List<String> done = new ArrayList<>();
            final long[] newest = {0};
            final int[] counts = new int[2];
            for (int p = 0; p < 4; p++) {
                final Proposer proposer = bench.proposer("p" + p);
                final String name = "p" + p;
                for (int i = 0; i < 8; i++) {
                    final String mark = name + "." + i;
                    bench.clock.after(bench.random.nextInt(6000), () -> {
                        final long floor = newest[0];
                        proposer.propose(
                                "count",
                                4000,
                                now -> {
                                    // Its own value seen again, under whatever others put on top of it, is not put on
                                    // again.
                                    final boolean own =
                                            now != null && new String(now, StandardCharsets.UTF_8).endsWith(" " + mark);
                                    return new RegisterEdit.Set(
                                            own
                                                    ? now
                                                    : (number(now) + 1 + " " + mark).getBytes(StandardCharsets.UTF_8));
                                },
                                outcome -> {
                                    if (outcome instanceof ProposalOutcome.Committed d && d.wrote()) {
                                        counts[0]++;
                                        assertThat(number(d.value())).isGreaterThan(floor);
                                        done.add(new String(d.value(), StandardCharsets.UTF_8));
                                        newest[0] = Math.max(newest[0], number(d.value()));
                                    } else {
                                        counts[1]++;
                                    }
                                });
                    });
                    bench.clock.after(bench.random.nextInt(9000), () -> {
                        final long floor = newest[0];
                        proposer.read("count", 3000, outcome -> {
                            if (outcome instanceof ProposalOutcome.Committed d) {
                                assertThat(number(d.value()))
                                        .as("a read after it was done")
                                        .isGreaterThanOrEqualTo(floor);
                                newest[0] = Math.max(newest[0], number(d.value()));
                            }
                        });
                    });
                }
            }
            for (int i = 0; i < 20; i++) {
                bench.clock.after(bench.random.nextInt(8000), () -> bench.bounce(bench.random.nextInt(6)));
            }
            bench.run(20_000);
            assertThat(done)
                    .as("no number stands for two changes")
                    .extracting(d -> d.split(" ")[0])
                    .doesNotHaveDuplicates();
            finished += counts[0];
            unclear += counts[1];
        }
        assertThat(finished).isGreaterThan(800);
        assertThat(finished + unclear).isEqualTo(40 * 32);
    }
}
