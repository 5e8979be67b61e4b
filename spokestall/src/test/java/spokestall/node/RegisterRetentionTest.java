package spokestall.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import spokestall.configuration.feed.ConfigurationKeys;
import spokestall.consensus.VoterSet;
import spokestall.proxy.IdempotencyClaim;
import spokestall.time.EventClock;
import spokestall.time.FleetClock;
import spokestall.usage.SealedWindow;

class RegisterRetentionTest {
    private static final long NOW_MS = 1_000_000;
    private static final long CLAIM_KEEP_MS = 10_000;
    private static final long MARGIN_MS = 2_000;
    private static final long WINDOW_MS = 1_000;
    private static final long VERSION_FLOOR = 20;
    private static final long SNAPSHOT_VERSION = 30;

    private final FleetClock fleetClock = new FleetClock(new EventClock(NOW_MS), 1);
    private double logFill;
    private final RegisterRetention retention = new RegisterRetention(
            new RegisterRetention.Periods(CLAIM_KEEP_MS, MARGIN_MS, WINDOW_MS),
            fleetClock,
            new RegisterRetention.CoreState() {
                @Override
                public boolean ready() {
                    return true;
                }

                @Override
                public VoterSet voterSet() {
                    return new VoterSet(0, 3, List.of());
                }

                @Override
                public long versionFloor() {
                    return VERSION_FLOOR;
                }

                @Override
                public long snapshotVersion() {
                    return SNAPSHOT_VERSION;
                }

                @Override
                public double logFill() {
                    return logFill;
                }
            });

    @Test
    void versionsUpToTheFloorArePruned() {
        assertThat(retention.isPruned(ConfigurationKeys.keyOf(VERSION_FLOOR))).isTrue();
        assertThat(retention.isPruned(ConfigurationKeys.keyOf(VERSION_FLOOR + 1)))
                .isFalse();
    }

    @Test
    void usageWindowsAreKeptForTheClaimPeriodAfterTheirEnd() {
        final long newestExpired = (fleetClock.nowMs() - CLAIM_KEEP_MS - 1) / WINDOW_MS - 1;
        assertThat(retention.isPruned(SealedWindow.key(newestExpired))).isTrue();
        assertThat(retention.isPruned(SealedWindow.key(newestExpired + 1))).isFalse();
    }

    @Test
    void onlyTheVoterSetRegisterOfTheNextEpochIsKept() {
        assertThat(retention.isPruned(VoterSet.key(0, 3))).isTrue();
        assertThat(retention.isPruned(VoterSet.key(0, 4))).isFalse();
        assertThat(retention.isPruned(VoterSet.key(0, 5))).isTrue();
    }

    @Test
    void claimsAndVersionsLeaveCapacityForOtherRegisters() {
        final String claim = IdempotencyClaim.key("tenant-1", "pay-17");
        final String version = ConfigurationKeys.keyOf(VERSION_FLOOR + 1);
        assertThat(retention.hasCapacityFor(claim)).isTrue();
        assertThat(retention.hasCapacityFor(version)).isTrue();
        logFill = 0.7;
        assertThat(retention.hasCapacityFor(claim)).isFalse();
        assertThat(retention.hasCapacityFor(version)).isFalse();
        assertThat(retention.hasCapacityFor(SealedWindow.key(1))).isTrue();
        assertThat(retention.hasCapacityFor("duty/usage_report")).isTrue();
    }

    @Test
    void snapshotContainsVersionsUpToItsOwn() {
        assertThat(retention.hasSnapshotUpTo(SNAPSHOT_VERSION)).isTrue();
        assertThat(retention.hasSnapshotUpTo(SNAPSHOT_VERSION + 1)).isFalse();
    }

    @Test
    void aClaimWithoutAValueIsKept() {
        assertThat(retention.expired(IdempotencyClaim.key("tenant-1", "pay-17"), null))
                .isFalse();
        assertThat(retention.accepts(IdempotencyClaim.key("tenant-1", "pay-17"), null))
                .isTrue();
    }
}
