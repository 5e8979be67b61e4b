package spokestall;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spokestall.ballot.Voters;
import spokestall.duty.Lease;
import spokestall.duty.Sealed;
import spokestall.edge.Claim;
import spokestall.edge.Ticket;
import spokestall.feed.Versions;
import spokestall.policy.KeyHash;
import spokestall.wire.Marks;

/** Keys of registers and of a core's own records, and texts that are sent or kept, against their literals. */
class KeyStabilityTest {
    @Test
    void keysOfRegistersAreTheLiteralOnes() {
        assertThat(Versions.key(17)).isEqualTo("policy/0000000000000000017");
        assertThat(Versions.key(Long.MAX_VALUE)).isEqualTo("policy/9223372036854775807");
        assertThat(Sealed.key(345)).isEqualTo("usage/0000000000000000345");
        assertThat(Lease.key("usage_report")).isEqualTo("duty/usage_report");
        assertThat(UsageDuty.LEASE).isEqualTo("duty/usage_report");
        assertThat(Merge.FLOOR).isEqualTo("duty/floor");
        assertThat(Claim.key("tenant-1", "pay-17")).isEqualTo("once/tenant-1/pay-17");
        assertThat(Voters.key(1_700_000_000L, 2)).isEqualTo("voters/1700000000/2");
        assertThat(Voters.KEYS).isEqualTo("voters/");
    }

    @Test
    void literalKeysOfRegistersAreRead() {
        assertThat(Versions.of("policy/0000000000000000017")).isEqualTo(17);
        assertThat(Versions.of("usage/0000000000000000017")).isEqualTo(-1);
        assertThat(Sealed.windowOf("usage/0000000000000000345")).isEqualTo(345);
        assertThat(Sealed.windowOf("policy/0000000000000000345")).isEqualTo(-1);
        assertThat(Claim.isKey("once/tenant-1/pay-17")).isTrue();
        assertThat(Claim.isKey("duty/usage_report")).isFalse();
    }

    @Test
    void keysOfACoresOwnRecordsAreTheLiteralOnes() {
        assertThat(CoreStorage.POLICY).isEqualTo("~policy");
        assertThat(CoreStorage.COUNCIL).isEqualTo("~council");
        assertThat(Discovery.KEPT).isEqualTo("~listed");
        assertThat(UsageDuty.KEPT).isEqualTo("~usage");
    }

    @Test
    void textsAndMarksThatNodesCompareAreTheLiteralOnes() {
        assertThat(new Ticket(1_700_000_000L, 1000).text()).isEqualTo("t1-1700000000-1000");
        assertThat(Ticket.of("t1-17-1000.pay-4")).isEqualTo(new Ticket(17, 1000));
        assertThat(KeyHash.of("k-123")).isEqualTo("3605a9e4358da4302f8acea41f0f52cef85d0e3f727c7b020fc7305aec8d56b4");
        assertThat(Marks.of("d1-core/1f")).isEqualTo(7051966555707774044L);
    }
}
