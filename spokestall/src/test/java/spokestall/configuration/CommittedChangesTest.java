package spokestall.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spokestall.message.MessageCodec;

/** How long an accepted order is known, on every node alike. */
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
    void anOrderIsKnownForTenMinutesWhateverComesAfterItUpToTheMost() {
        final ConfigurationStore configurationStore = new ConfigurationStore(8);
        apply(configurationStore, 1_000_000);
        for (int i = 2; i <= CommittedChanges.KEPT_MOST; i++) {
            apply(configurationStore, 1_000_000 + i * CommittedChanges.KEPT_MS / CommittedChanges.KEPT_MOST);
        }
        assertThat(configurationStore.versionOf("order-1"))
                .as("at the end of its time")
                .isEqualTo(1);
        apply(configurationStore, 1_000_000 + CommittedChanges.KEPT_MS);
        assertThat(configurationStore.versionOf("order-1"))
                .as("one more than the most")
                .isNull();
        assertThat(configurationStore.orders()).hasSize(CommittedChanges.KEPT_MOST);
    }

    @Test
    void afterItsTimeAnOrderIsKnownUntilTheLeastCameAfterIt() {
        final ConfigurationStore configurationStore = new ConfigurationStore(8);
        for (int i = 0; i < CommittedChanges.KEPT_LEAST; i++) {
            apply(configurationStore, i * CommittedChanges.KEPT_MS);
        }
        assertThat(configurationStore.versionOf("order-1")).isEqualTo(1);
        apply(configurationStore, CommittedChanges.KEPT_LEAST * CommittedChanges.KEPT_MS);
        assertThat(configurationStore.versionOf("order-1")).isNull();
        assertThat(configurationStore.versionOf("order-2")).isEqualTo(2);
    }

    @Test
    void nodesThatFollowAndNodesThatStartFromAnySnapshotKnowTheSame() {
        for (int seed = 0; seed < 20; seed++) {
            versions = 0;
            final Random random = new Random(seed);
            final ConfigurationStore whole = new ConfigurationStore(4);
            ConfigurationStore late = new ConfigurationStore(4);
            long nowMs = 1_800_000_000_000L;
            for (int i = 0; i < 3000; i++) {
                nowMs += random.nextInt(500) == 0 ? -30_000 : random.nextInt(4000);
                final ConfigurationChange change = change(random.nextInt(50) == 0 ? 0 : nowMs);
                final byte[] agreed = MessageCodec.encodeRecord(change);
                whole.apply(versions, MessageCodec.decodeRecord(agreed, ConfigurationChange.class));
                late.apply(versions, MessageCodec.decodeRecord(agreed, ConfigurationChange.class));
                if (random.nextInt(200) == 0) {
                    late = new ConfigurationStore(4);
                    late.load(MessageCodec.decodeRecord(
                            MessageCodec.encodeRecord(whole.snapshot()), ConfigurationSnapshot.class));
                }
            }
            assertThat(late.orders()).isEqualTo(whole.orders());
        }
    }

    @Test
    void whatTheOlderProgramWroteIsReadAndCanBeRead() {
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
    void aGenerationsFirstChangeBringsTheOrdersOfBeforeToNodesThatKnowNoneOrOthers() {
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
            assertThat(configurationStore.orders())
                    .containsExactly(before.get(0), before.get(1), new CommittedChange("founding-9", 900, 30));
        }
    }
}
