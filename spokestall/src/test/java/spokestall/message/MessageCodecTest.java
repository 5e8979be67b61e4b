package spokestall.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    record Inner(String name, @SinceVersion(2) int more) {}

    record Tick(
            long at, List<Inner> inners, @SinceVersion(2) boolean ready, String last) implements Message {}

    static {
        MessageRegistry.register(201, Tick.class);
    }

    private static Tick tick(final int more, final boolean ready) {
        return new Tick(7, List.of(new Inner("a", more), new Inner("b", more)), ready, "end");
    }

    @Test
    void decodesOlderVersionsAndReportsUnknownVersionsAndTypes() throws Exception {
        assertThat(MessageCodec.decode(MessageCodec.encode(tick(3, true), 2))).isEqualTo(tick(3, true));
        assertThat(MessageCodec.decode(MessageCodec.encode(tick(3, true), 1))).isEqualTo(tick(0, false));
        final byte[] first = MessageCodec.encode(tick(3, true), 1);
        assertThat(first[0])
                .as("version 1 has no version byte, so the upper byte of the type number comes first")
                .isZero();
        final byte[] unknownVersion = MessageCodec.encode(tick(3, true), 2);
        unknownVersion[0] = MessageCodec.CURRENT_VERSION + 1;
        assertThatThrownBy(() -> MessageCodec.decode(unknownVersion))
                .isInstanceOf(UnknownMessageException.class)
                .hasMessage("version " + (MessageCodec.CURRENT_VERSION + 1));
        final byte[] unknownType = MessageCodec.encode(tick(3, true), 2);
        unknownType[2] ^= 0x40;
        assertThatThrownBy(() -> MessageCodec.decode(unknownType))
                .isInstanceOf(UnknownMessageException.class)
                .hasMessageStartingWith("type ");
    }

    @Test
    void storedRecordsEndWithLaterFieldsAndDecodeWithoutThem() {
        final Tick written = tick(3, true);
        final byte[] bytes = MessageCodec.encodeRecord(written);
        final Tick read = MessageCodec.decodeRecord(bytes, Tick.class);
        assertThat(read.ready()).isTrue();
        assertThat(read.last()).isEqualTo("end");
        final byte[] older = Arrays.copyOf(bytes, bytes.length - 1);
        assertThat(MessageCodec.decodeRecord(older, Tick.class)).isEqualTo(tick(0, false));
    }

    @Test
    void versionThreeEncodesIntegersAsVarInts() throws Exception {
        for (final int n : new int[] {0, 1, -1, 63, 64, -65, 1 << 20, Integer.MAX_VALUE, Integer.MIN_VALUE}) {
            for (final long at : new long[] {0, -1, 1L << 40, Long.MAX_VALUE, Long.MIN_VALUE}) {
                final Tick message = new Tick(at, List.of(new Inner(null, n), new Inner("", n)), true, "\u00fc");
                assertThat(MessageCodec.decode(MessageCodec.encode(message, 3))).isEqualTo(message);
            }
        }
        assertThat(MessageCodec.encode(tick(3, true), 3).length)
                .isLessThan(MessageCodec.encode(tick(3, true), 2).length / 2);
    }

    @Test
    void randomlyCorruptedFramesDecodeOrFailWithAnIoException() throws Exception {
        final Random random = new Random(5);
        for (int i = 0; i < 100_000; i++) {
            final byte[] frame = MessageCodec.encode(
                    tick(random.nextInt(), random.nextBoolean()), 1 + random.nextInt(MessageCodec.CURRENT_VERSION));
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                frame[random.nextInt(frame.length)] = (byte) random.nextInt();
            }
            final byte[] received =
                    random.nextInt(3) == 0 ? Arrays.copyOf(frame, 2 + random.nextInt(frame.length - 2)) : frame;
            try {
                assertThat(MessageCodec.decode(received)).isInstanceOf(Tick.class);
            } catch (final IOException expected) {
                assertThat(expected).isNotNull();
            }
        }
    }
}
