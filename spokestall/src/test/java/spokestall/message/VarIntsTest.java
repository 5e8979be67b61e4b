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
    private static byte[] written(final long value) throws IOException {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VarInts.write(new DataOutputStream(bytes), value);
        return bytes.toByteArray();
    }

    private static long read(final byte[] bytes) throws IOException {
        return VarInts.read(new DataInputStream(new ByteArrayInputStream(bytes)));
    }

    @Test
    void smallValuesOfEitherSignTakeOneByte() throws Exception {
        assertThat(VarInts.zigZag(0)).isZero();
        assertThat(VarInts.zigZag(-1)).isEqualTo(1);
        assertThat(VarInts.zigZag(1)).isEqualTo(2);
        assertThat(written(VarInts.zigZag(-64))).hasSize(1);
        assertThat(written(VarInts.zigZag(64))).hasSize(2);
    }

    @Test
    void everyValueIsReadAsWritten() throws Exception {
        for (final long value :
                new long[] {0, 1, -1, 127, 128, 300, Integer.MIN_VALUE, Long.MAX_VALUE, Long.MIN_VALUE}) {
            assertThat(read(written(value))).isEqualTo(value);
            assertThat(VarInts.unZigZag(VarInts.zigZag(value))).isEqualTo(value);
        }
        assertThat(written(300)).containsExactly(0xac, 0x02);
        assertThat(written(-1)).hasSize(10);
    }

    @Test
    void aValueWithoutALastByteIsRefused() {
        final byte[] endless = new byte[11];
        Arrays.fill(endless, (byte) 0xff);
        assertThatThrownBy(() -> read(endless)).isInstanceOf(IOException.class).hasMessage("number without an end");
    }
}
