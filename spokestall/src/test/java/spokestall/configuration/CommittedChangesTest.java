package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.message.MessageCodec;

/** Tests how long committed changes are retained, and that all nodes retain the same ones. */
class CommittedChangesTest {
    private static final byte[] PATCH = "{}".getBytes(StandardCharsets.UTF_8);
    private long versions;

    private ConfigurationChange change(final long acceptedMs) {
        return new ConfigurationChange("order-" + ++versions, ConfigurationChange.Kind.PATCH, PATCH, acceptedMs);
    }

    private void apply(final ConfigurationStore configurationStore, final long acceptedMs) {
        final ConfigurationChange change = change(acceptedMs);
        configurationStore.apply(versions, change);
    }

    @Test
    void changeIsRetainedForTenMinutesUnlessTheMaximumIsExceeded() {
        final ConfigurationStore configurationStore = new ConfigurationStore(8);
        apply(configurationStore, 1_000_000);
        for (int i = 2; i <= CommittedChanges.RETAINED_MAX; i++) {
            apply(configurationStore, 1_000_000 + i * CommittedChanges.RETENTION_MS / CommittedChanges.RETAINED_MAX);
        }
        assertThat(configurationStore.versionOf("order-1"))
                .as("at the end of the retention time")
                .isEqualTo(1);
        apply(configurationStore, 1_000_000 + CommittedChanges.RETENTION_MS);
        assertThat(configurationStore.versionOf("order-1"))
                .as("one change more than the maximum")
                .isNull();
        assertThat(configurationStore.committedChanges()).hasSize(CommittedChanges.RETAINED_MAX);
    }

    @Test
    void expiredChangeIsRetainedUntilTheMinimumNumberFollows() {
        final ConfigurationStore configurationStore = new ConfigurationStore(8);
        for (int i = 0; i < CommittedChanges.RETAINED_MIN; i++) {
            apply(configurationStore, i * CommittedChanges.RETENTION_MS);
        }
        assertThat(configurationStore.versionOf("order-1")).isEqualTo(1);
        apply(configurationStore, CommittedChanges.RETAINED_MIN * CommittedChanges.RETENTION_MS);
        assertThat(configurationStore.versionOf("order-1")).isNull();
        assertThat(configurationStore.versionOf("order-2")).isEqualTo(2);
    }

    @Test
    void applyingChangesAndLoadingSnapshotsRetainTheSameChanges() {
        for (int seed = 0; seed < 20; seed++) {
            versions = 0;
            final Random random = new Random(seed);
            final ConfigurationStore following = new ConfigurationStore(4);
            ConfigurationStore restarting = new ConfigurationStore(4);
            long nowMs = 1_800_000_000_000L;
            for (int i = 0; i < 3000; i++) {
                nowMs += random.nextInt(500) == 0 ? -30_000 : random.nextInt(4000);
                final ConfigurationChange change = change(random.nextInt(50) == 0 ? 0 : nowMs);
                final byte[] encoded = MessageCodec.encodeRecord(change);
                following.apply(versions, MessageCodec.decodeRecord(encoded, ConfigurationChange.class));
                restarting.apply(versions, MessageCodec.decodeRecord(encoded, ConfigurationChange.class));
                if (random.nextInt(200) == 0) {
                    restarting = new ConfigurationStore(4);
                    restarting.load(MessageCodec.decodeRecord(
                            MessageCodec.encodeRecord(following.snapshot()), ConfigurationSnapshot.class));
                }
            }
            assertThat(restarting.committedChanges()).isEqualTo(following.committedChanges());
        }
    }

    @Test
    void recordsAreCompatibleWithOlderVersionsInBothDirections() {
        record OldChange(String changeId, ConfigurationChange.Kind kind, byte[] json) {}
        record OldSnapshot(long version, byte[] json, Map<String, Long> changeIds) {}
        final Map<String, Long> ids = new LinkedHashMap<>(Map.of("a", 6L));
        final ConfigurationSnapshot read = MessageCodec.decodeRecord(
                MessageCodec.encodeRecord(new OldSnapshot(7, PATCH, ids)), ConfigurationSnapshot.class);
        final ConfigurationStore configurationStore = new ConfigurationStore(4);
        configurationStore.load(read);
        assertThat(configurationStore.versionOf("a")).isEqualTo(6);
        configurationStore.apply(
                8,
                MessageCodec.decodeRecord(
                        MessageCodec.encodeRecord(new OldChange("b", ConfigurationChange.Kind.PATCH, PATCH)),
                        ConfigurationChange.class));
        assertThat(configurationStore.versionOf("b")).isEqualTo(8);
        assertThat(MessageCodec.decodeRecord(
                                MessageCodec.encodeRecord(configurationStore.snapshot()), OldSnapshot.class)
                        .changeIds())
                .containsOnlyKeys("a", "b");
        assertThat(MessageCodec.decodeRecord(MessageCodec.encodeRecord(change(5)), OldChange.class)
                        .changeId())
                .isEqualTo("order-1");
    }

    @Test
    void firstChangeOfAGenerationReplacesTheKnownChanges() {
        final List<CommittedChange> before =
                List.of(new CommittedChange("kept", 3, 10), new CommittedChange("too", 4, 20));
        final ConfigurationChange first =
                new ConfigurationChange("founding-9", ConfigurationChange.Kind.PUT, PATCH, 30, before);
        final ConfigurationStore blank = new ConfigurationStore(4);
        final ConfigurationStore ahead = new ConfigurationStore(4);
        apply(ahead, 15);
        for (final ConfigurationStore configurationStore : List.of(blank, ahead)) {
            configurationStore.apply(
                    900, MessageCodec.decodeRecord(MessageCodec.encodeRecord(first), ConfigurationChange.class));
            assertThat(configurationStore.committedChanges())
                    .containsExactly(before.get(0), before.get(1), new CommittedChange("founding-9", 900, 30));
        }
    }
}
