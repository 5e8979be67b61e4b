package spokestall.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import spokestall.ballot.Register;
import spokestall.ballot.StoredRecords;
import spokestall.ballot.Voters;
import spokestall.duty.Lease;
import spokestall.duty.Sealed;
import spokestall.edge.Claim;
import spokestall.policy.Change;
import spokestall.policy.Snapshot;

/**
 * The bytes of every record that is stored (in a register, under a key of a voter's own, or as the bytes a digest is made
 * of), against literal bytes, also as an older program wrote it: without the later fields at its end.
 */
class StoredFormatTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final Map<String, Class<? extends Record>> STORED = Map.of(
            "register", Register.class,
            "voters", Voters.class,
            "formation-ballot", StoredRecords.formationBallot(),
            "policy-snapshot", Snapshot.class,
            "policy-change", Change.class,
            "lease", Lease.class,
            "sealed-window", Sealed.class,
            "claim", Claim.class,
            "content", Content.class);
    private static final Map<String, Class<? extends Record>> STORED_BY_OLDER_PROGRAMS =
            Map.of("policy-snapshot", Snapshot.class, "policy-change", Change.class);

    private static Map<String, String> built() {
        final Map<String, String> lines = new TreeMap<>();
        STORED.forEach((name, type) -> {
            lines.put(name + " full", HEX.formatHex(Codec.bytes(SampleRecords.full(type))));
            lines.put(name + " empty", HEX.formatHex(Codec.bytes(SampleRecords.empty(type))));
        });
        STORED_BY_OLDER_PROGRAMS.forEach((name, type) -> {
            final byte[] older = older(Codec.bytes(SampleRecords.full(type)), type);
            lines.put(name + " older", HEX.formatHex(older));
            lines.put(name + " older-written-again", HEX.formatHex(Codec.bytes(Codec.record(older, type))));
        });
        return lines;
    }

    /** Later fields may be absent, so the shortest beginning that can be read has none of them. */
    private static byte[] older(final byte[] whole, final Class<? extends Record> type) {
        for (int length = 1; length < whole.length; length++) {
            final byte[] beginning = Arrays.copyOf(whole, length);
            if (readable(beginning, type)) {
                return beginning;
            }
        }
        throw new IllegalStateException("nothing later in " + type);
    }

    private static boolean readable(final byte[] bytes, final Class<? extends Record> type) {
        try {
            return Codec.record(bytes, type) != null;
        } catch (final IllegalArgumentException cut) {
            return false;
        }
    }

    @Test
    void aRecordThatIsBuiltNowEncodesToTheLiteralBytes() throws Exception {
        assertThat(built()).containsExactlyInAnyOrderEntriesOf(GoldenLines.read("records.txt"));
    }

    @Test
    void literalBytesDecodeAndEncodeToThemselves() throws Exception {
        final Map<String, String> lines = GoldenLines.read("records.txt");
        lines.forEach((which, hex) -> {
            final Record record = Codec.record(HEX.parseHex(hex), STORED.get(which.substring(0, which.indexOf(' '))));
            final String again = lines.getOrDefault(which + "-written-again", hex);
            assertThat(HEX.formatHex(Codec.bytes(record))).as(which).isEqualTo(again);
        });
    }

    @Test
    void whatAnOlderProgramWroteIsReadWithoutTheLaterFields() throws Exception {
        final Map<String, String> lines = GoldenLines.read("records.txt");
        final Change change = Codec.record(HEX.parseHex(lines.get("policy-change older")), Change.class);
        assertThat(change.acceptedMs()).isZero();
        assertThat(change.before()).isEmpty();
        final Snapshot snapshot = Codec.record(HEX.parseHex(lines.get("policy-snapshot older")), Snapshot.class);
        assertThat(snapshot.orders()).hasSameSizeAs(snapshot.changeIds().entrySet());
        assertThat(snapshot.orders()).allMatch(order -> order.acceptedMs() == 0);
    }
}
