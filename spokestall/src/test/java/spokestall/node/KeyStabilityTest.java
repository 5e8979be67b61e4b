package spokestall.node;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spokestall.configuration.KeyHash;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.VoterSet;
import spokestall.lease.Lease;
import spokestall.message.Fingerprints;
import spokestall.proxy.IdempotencyClaim;
import spokestall.proxy.RequestTicket;
import spokestall.usage.SealedWindow;

/**
 * Guards the keys of registers and of a core's local records, and strings that are sent or stored, by comparing them
 * with literals.
 */
class KeyStabilityTest {
    @Test
    void registerKeysAreStable() {
        assertThat(ConfigurationKeys.keyOf(17)).isEqualTo("policy/0000000000000000017");
        assertThat(ConfigurationKeys.keyOf(Long.MAX_VALUE)).isEqualTo("policy/9223372036854775807");
        assertThat(SealedWindow.key(345)).isEqualTo("usage/0000000000000000345");
        assertThat(Lease.key("usage_report")).isEqualTo("duty/usage_report");
        assertThat(UsageComponent.LEASE_KEY).isEqualTo("duty/usage_report");
        assertThat(GenerationMerger.GENERATION_START_KEY).isEqualTo("duty/floor");
        assertThat(IdempotencyClaim.key("tenant-1", "pay-17")).isEqualTo("once/tenant-1/pay-17");
        assertThat(VoterSet.key(1_700_000_000L, 2)).isEqualTo("voters/1700000000/2");
        assertThat(VoterSet.KEY_PREFIX).isEqualTo("voters/");
    }

    @Test
    void registerKeysAreParsed() {
        assertThat(ConfigurationKeys.versionOf("policy/0000000000000000017")).isEqualTo(17);
        assertThat(ConfigurationKeys.versionOf("usage/0000000000000000017")).isEqualTo(-1);
        assertThat(SealedWindow.windowOf("usage/0000000000000000345")).isEqualTo(345);
        assertThat(SealedWindow.windowOf("policy/0000000000000000345")).isEqualTo(-1);
        assertThat(IdempotencyClaim.isClaimKey("once/tenant-1/pay-17")).isTrue();
        assertThat(IdempotencyClaim.isClaimKey("duty/usage_report")).isFalse();
    }

    @Test
    void localRecordKeysAreStable() {
        assertThat(SnapshotStore.KEY).isEqualTo("~policy");
        assertThat(CoreStorage.BOOTSTRAP_MARK_KEY).isEqualTo("~council");
        assertThat(DiscoveryComponent.ENDPOINT_LIST_KEY).isEqualTo("~listed");
        assertThat(UsageComponent.COUNTS_KEY).isEqualTo("~usage");
    }

    @Test
    void ticketsHashesAndFingerprintsAreStable() {
        assertThat(new RequestTicket(1_700_000_000L, 1000).text()).isEqualTo("t1-1700000000-1000");
        assertThat(RequestTicket.of("t1-17-1000.pay-4")).isEqualTo(new RequestTicket(17, 1000));
        assertThat(KeyHash.of("k-123")).isEqualTo("3605a9e4358da4302f8acea41f0f52cef85d0e3f727c7b020fc7305aec8d56b4");
        assertThat(Fingerprints.of("d1-core/1f")).isEqualTo(7051966555707774044L);
    }
}
