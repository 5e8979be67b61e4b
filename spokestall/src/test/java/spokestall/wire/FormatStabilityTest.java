package spokestall.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.security.CodeSource;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import spokestall.NumberedNotes;
import spokestall.ballot.BallotNote;
import spokestall.edge.Claim;
import spokestall.listing.Status;
import spokestall.policy.Change;

/**
 * The bytes of every numbered message in every version that is read, against literal bytes. Numbers, the order of fields and
 * the ordinals of enums are the format; Java names are not, so a renaming must leave the resource as it is.
 */
@ExtendWith(RestoredNumbers.class)
class FormatStabilityTest {
    private static final HexFormat HEX = HexFormat.of();

    /** The messages of production code; other tests number their own kinds in the same table. */
    private static Map<Integer, Class<? extends Record>> messages() {
        NumberedNotes.register();
        final CodeSource production = Codec.class.getProtectionDomain().getCodeSource();
        final Map<Integer, Class<? extends Record>> messages = new TreeMap<>(Codec.numbered());
        messages.values()
                .removeIf(type -> !production.equals(type.getProtectionDomain().getCodeSource()));
        return messages;
    }

    private static Map<String, String> built() {
        final Map<String, String> lines = new TreeMap<>();
        messages().forEach((number, type) -> {
            for (int version = Codec.OLDEST; version <= Codec.VERSION; version++) {
                final String which = number + " v" + version;
                lines.put(which + " full", HEX.formatHex(Codec.note((Note) SampleRecords.full(type), version)));
                lines.put(which + " empty", HEX.formatHex(Codec.note((Note) SampleRecords.empty(type), version)));
            }
        });
        return lines;
    }

    @Test
    void everyMessageHasLinesInEveryVersion() throws Exception {
        assertThat(messages()).isNotEmpty();
        assertThat(GoldenLines.read("messages.txt")).containsOnlyKeys(built().keySet());
    }

    @Test
    void aMessageThatIsBuiltNowEncodesToTheLiteralBytes() throws Exception {
        assertThat(built()).containsExactlyInAnyOrderEntriesOf(GoldenLines.read("messages.txt"));
    }

    @Test
    void literalBytesDecodeToTheirMessageAndEncodeToThemselves() throws Exception {
        final Map<Integer, Class<? extends Record>> messages = messages();
        for (final Map.Entry<String, String> line :
                GoldenLines.read("messages.txt").entrySet()) {
            final String[] which = line.getKey().split(" ", -1);
            final Note note = Codec.note(HEX.parseHex(line.getValue()));
            final int version = Integer.parseInt(which[1].substring(1));
            assertThat(note).as(line.getKey()).isInstanceOf(messages.get(Integer.valueOf(which[0])));
            assertThat(HEX.formatHex(Codec.note(note, version)))
                    .as(line.getKey())
                    .isEqualTo(line.getValue());
        }
    }

    @Test
    void constantsOfEnumsKeepTheirOrdinals() {
        assertThat(BallotNote.Reply.values())
                .containsExactly(
                        BallotNote.Reply.YES,
                        BallotNote.Reply.LOWER,
                        BallotNote.Reply.OLD_TABLE,
                        BallotNote.Reply.BLANK,
                        BallotNote.Reply.GONE,
                        BallotNote.Reply.DENIED,
                        BallotNote.Reply.DISK);
        assertThat(Change.Kind.values()).containsExactly(Change.Kind.PUT, Change.Kind.PATCH);
        assertThat(Status.values()).containsExactly(Status.READY, Status.LEAVING, Status.DOWN, Status.FOREIGN);
        assertThat(Claim.State.values()).containsExactly(Claim.State.OPEN, Claim.State.RAN, Claim.State.NOT_RUN);
    }
}
