package spokestall.message;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import spokestall.configuration.ConfigurationChange;
import spokestall.configuration.ConfigurationSnapshot;
import spokestall.consensus.Register;
import spokestall.consensus.VoterSet;
import spokestall.lease.Lease;
import spokestall.membership.StoredRecords;
import spokestall.proxy.IdempotencyClaim;
import spokestall.usage.SealedWindow;

/**
 * Guards the bytes of every stored record (in a register, in a voter's local record, or as input of a digest) against a
 * golden file, including records as an older program wrote them, without the later fields at the end.
 */
class StoredFormatTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final Map<String, Class<? extends Record>> STORED = Map.of(
            "register", Register.class,
            "voters", VoterSet.class,
            "formation-ballot", StoredRecords.generationVote(),
            "policy-snapshot", ConfigurationSnapshot.class,
            "policy-change", ConfigurationChange.class,
            "lease", Lease.class,
            "sealed-window", SealedWindow.class,
            "claim", IdempotencyClaim.class,
            "content", ResponseContent.class);
    private static final Map<String, Class<? extends Record>> STORED_BY_OLDER_PROGRAMS =
            Map.of("policy-snapshot", ConfigurationSnapshot.class, "policy-change", ConfigurationChange.class);

    private static Map<String, String> encodedSamples() {
        final Map<String, String> lines = new TreeMap<>();
        STORED.forEach((name, type) -> {
            lines.put(name + " full", HEX.formatHex(MessageCodec.encodeRecord(SampleRecords.full(type))));
            lines.put(name + " empty", HEX.formatHex(MessageCodec.encodeRecord(SampleRecords.empty(type))));
        });
        STORED_BY_OLDER_PROGRAMS.forEach((name, type) -> {
            final byte[] older = withoutLaterFields(MessageCodec.encodeRecord(SampleRecords.full(type)), type);
            lines.put(name + " older", HEX.formatHex(older));
            lines.put(
                    name + " older-written-again",
                    HEX.formatHex(MessageCodec.encodeRecord(MessageCodec.decodeRecord(older, type))));
        });
        return lines;
    }

    /**
     * Returns the record as an older program wrote it. Later fields may be missing, so the shortest readable prefix has
     * none of them.
     */
    private static byte[] withoutLaterFields(final byte[] complete, final Class<? extends Record> type) {
        for (int length = 1; length < complete.length; length++) {
            final byte[] prefix = Arrays.copyOf(complete, length);
            if (readable(prefix, type)) {
                return prefix;
            }
        }
        throw new IllegalStateException("no later fields in " + type);
    }

    private static boolean readable(final byte[] bytes, final Class<? extends Record> type) {
        try {
            return MessageCodec.decodeRecord(bytes, type) != null;
        } catch (final IllegalArgumentException truncated) {
            return false;
        }
    }

    @Test
    void recordsEncodeToGoldenBytes() throws Exception {
        assertThat(encodedSamples()).containsExactlyInAnyOrderEntriesOf(GoldenLines.read("records.txt"));
    }

    @Test
    void goldenBytesRoundTrip() throws Exception {
        final Map<String, String> lines = GoldenLines.read("records.txt");
        lines.forEach((lineName, hex) -> {
            final Record record = MessageCodec.decodeRecord(
                    HEX.parseHex(hex), STORED.get(lineName.substring(0, lineName.indexOf(' '))));
            final String expectedHex = lines.getOrDefault(lineName + "-written-again", hex);
            assertThat(HEX.formatHex(MessageCodec.encodeRecord(record)))
                    .as(lineName)
                    .isEqualTo(expectedHex);
        });
    }

    @Test
    void recordsOfOlderProgramsDecodeWithoutLaterFields() throws Exception {
        final Map<String, String> lines = GoldenLines.read("records.txt");
        final ConfigurationChange change =
                MessageCodec.decodeRecord(HEX.parseHex(lines.get("policy-change older")), ConfigurationChange.class);
        assertThat(change.acceptedMs()).isZero();
        assertThat(change.earlierChanges()).isEmpty();
        final ConfigurationSnapshot snapshot = MessageCodec.decodeRecord(
                HEX.parseHex(lines.get("policy-snapshot older")), ConfigurationSnapshot.class);
        assertThat(snapshot.committedChanges())
                .hasSameSizeAs(snapshot.changeIds().entrySet());
        assertThat(snapshot.committedChanges()).allMatch(order -> order.acceptedMs() == 0);
    }
}
