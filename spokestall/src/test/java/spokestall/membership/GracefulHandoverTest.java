package spokestall.membership;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import spokestall.consensus.ProposalOutcome;
import spokestall.consensus.RegisterEdit;

class GracefulHandoverTest {
    private static final int FLEETS = 20;
    private static final int VALUES = 20;

    /** Only four of six voters accept the values, and one of the four then leaves gracefully. */
    @Test
    void theRemainingMajorityHoldsAllAcceptedValuesAfterAHandover() {
        for (int seed = 0; seed < FLEETS; seed++) {
            final MembershipTestFleet fleet = MembershipTestFleet.fleet(seed, 6, 2, 1);
            fleet.startAll();
            fleet.run(15_000);
            for (final String from : List.of("e0", "c0", "c1", "c2", "c3")) {
                fleet.blockedLinks.add(from + ">c4");
                fleet.blockedLinks.add(from + ">c5");
            }
            final Map<String, String> confirmed = writeValues(fleet);
            fleet.runFor(1000);
            assertThat(confirmed).hasSize(VALUES);
            assertThat(fleet.countCopies(confirmed).fewest()).isEqualTo(4);
            fleet.blockedLinks.clear();
            final MembershipTestNode leaving = fleet.node("c" + seed % 4);
            leaving.leaveGracefullyForGood();
            fleet.runFor(1000);
            assertThat(leaving.removed).isTrue();
            assertThat(fleet.countCopies(confirmed).fewest()).as("seed " + seed).isGreaterThanOrEqualTo(4);
        }
    }

    /** Proposes the values and returns a map of the confirmed ones, which fills while the fleet runs. */
    private static Map<String, String> writeValues(final MembershipTestFleet fleet) {
        final Map<String, String> confirmed = new TreeMap<>();
        for (int i = 0; i < VALUES; i++) {
            final String key = "once/" + i;
            fleet.node("e0")
                    .proposer
                    .propose(
                            key,
                            3000,
                            current -> current == null ? new RegisterEdit.Set(key.getBytes(UTF_8)) : RegisterEdit.LEAVE,
                            outcome -> {
                                if (outcome instanceof ProposalOutcome.Committed) {
                                    confirmed.put(key, key);
                                }
                            });
        }
        return confirmed;
    }

    @Test
    void theHandoverEndsWhenNoOtherVoterAnswers() {
        final MembershipTestFleet fleet = MembershipTestFleet.fleet(1, 3, 1, 1);
        fleet.startAll();
        fleet.run(15_000);
        fleet.node("c0").stop();
        fleet.node("c1").stop();
        fleet.node("c2").leaveGracefullyForGood();
        fleet.runFor(1200);
        assertThat(fleet.node("c2").removed).isTrue();
    }
}
