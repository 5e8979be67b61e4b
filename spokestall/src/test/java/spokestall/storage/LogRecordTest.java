package spokestall.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;

class LogRecordTest {
    private static final LogRecord RECORD =
            new LogRecord(3, 12, 10, 7, "key", "value".getBytes(StandardCharsets.UTF_8));

    @Test
    void encodedBytesMatchTheDocumentedFormat() {
        final String hex = HexFormat.of().formatHex(RECORD.encode());
        assertThat(hex)
                .startsWith("53504b31" + "00000003" + "000000000000000c" + "000000000000000a" + "0000000000000007"
                        + "0000000b")
                .endsWith("0003" + "6b6579" + "01" + "76616c7565");
        assertThat(RECORD.encode()).hasSize(LogRecord.encodedBytes("key", RECORD.value()));
    }

    @Test
    void aRecordIsDecodedAtItsOffset() {
        final byte[] segment = new byte[200];
        final byte[] encoded = RECORD.encode();
        System.arraycopy(encoded, 0, segment, 20, encoded.length);
        final LogRecord.Located found = LogRecord.decode(4, segment, 20);
        assertThat(found.segment()).isEqualTo(4);
        assertThat(found.offset()).isEqualTo(20);
        assertThat(found.endOffset()).isEqualTo(20 + encoded.length);
        assertThat(found.record()).usingRecursiveComparison().isEqualTo(RECORD);
        assertThat(LogRecord.decode(4, segment, 19)).isNull();
    }

    @Test
    void decodingDistinguishesADeletionFromAnEmptyValue() {
        final byte[] deletion = new LogRecord(1, 1, 1, 1, "key", null).encode();
        assertThat(LogRecord.decode(0, deletion, 0).record().value()).isNull();
        final byte[] empty = new LogRecord(1, 1, 1, 1, "key", new byte[0]).encode();
        assertThat(LogRecord.decode(0, empty, 0).record().value()).isEmpty();
    }

    @Test
    void decodingRejectsAFlippedBitOrATruncatedRecord() {
        final byte[] encoded = RECORD.encode();
        for (int bit = 0; bit < encoded.length * Byte.SIZE; bit++) {
            final byte[] flipped = encoded.clone();
            flipped[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            assertThat(LogRecord.decode(0, flipped, 0)).as("bit %s", bit).isNull();
        }
        for (int length = 0; length < encoded.length; length++) {
            assertThat(LogRecord.decode(0, Arrays.copyOf(encoded, length), 0))
                    .as("%s bytes", length)
                    .isNull();
        }
    }
}
