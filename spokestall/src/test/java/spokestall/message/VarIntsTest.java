package spokestall.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

class VarIntsTest {
    private static byte[] encode(final long value) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VarInts.write(new DataOutputStream(bytes), value);
        return bytes.toByteArray();
    }

    private static long decode(final byte[] bytes) throws IOException {
        return VarInts.read(new DataInputStream(new ByteArrayInputStream(bytes)));
    }

    @Test
    void smallValuesOfEitherSignTakeOneByte() throws Exception {
        assertThat(VarInts.zigZag(0)).isZero();
        assertThat(VarInts.zigZag(-1)).isEqualTo(1);
        assertThat(VarInts.zigZag(1)).isEqualTo(2);
        assertThat(encode(VarInts.zigZag(-64))).hasSize(1);
        assertThat(encode(VarInts.zigZag(64))).hasSize(2);
    }

    @Test
    void valuesRoundTrip() throws Exception {
        for (final long value :
                new long[] {0, 1, -1, 127, 128, 300, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE}) {
            assertThat(decode(encode(value))).isEqualTo(value);
            assertThat(VarInts.unZigZag(VarInts.zigZag(value))).isEqualTo(value);
        }
        assertThat(encode(300)).containsExactly(0xac, 0x02);
        assertThat(encode(-1)).hasSize(10);
    }

    @Test
    void rejectsAValueOfMoreThanTenBytes() {
        final byte[] unterminated = new byte[11];
        Arrays.fill(unterminated, (byte) 0xff);
        assertThatThrownBy(() -> decode(unterminated))
                .isInstanceOf(IOException.class)
                .hasMessage("integer has more than ten bytes");
    }
}
