package spokestall.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VoterStatusExchangeTest {
    private static final int CORES = 6;
    private static final int STATUSES_TO_EACH_PEER_MAX = 11;

    /** Cores whose status no longer changes send each other at most one status per second, without the voter set. */
    @Test
    void aSettledFleetSendsFewStatusesAndNoVoterSets() {
        final MembershipTestFleet fleet = MembershipTestFleet.fleet(1, CORES, 6, 1);
        fleet.startAll();
        fleet.run(15_000);
        final long messages = fleet.messagesSent;
        final long voterSets = fleet.voterSetsSent;
        fleet.run(25_000);
        assertThat(fleet.messagesSent - messages).isLessThanOrEqualTo(CORES * (CORES - 1) * STATUSES_TO_EACH_PEER_MAX);
        assertThat(fleet.voterSetsSent - voterSets).isZero();
    }
}
