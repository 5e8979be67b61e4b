package spokestall.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Whole numbers in as many bytes as they need: seven bits a byte, the lowest first, the upper bit says that more come. */
final class VarInts {
    private static final int BYTES_MAX = 10;

    private VarInts() {}

    /** Small negative numbers become small ones: 0, -1, 1, -2 are folded to 0, 1, 2, 3. */
    static long folded(final long value) {
        return value << 1 ^ value >> 63;
    }

    static long unfolded(final long value) {
        return value >>> 1 ^ -(value & 1);
    }

    static void write(final DataOutputStream out, final long value) throws IOException {
        long left = value;
        while ((left & ~0x7fL) != 0) {
            out.writeByte((int) (left & 0x7f | 0x80));
            left >>>= 7;
        }
        out.writeByte((int) left);
    }

    static long read(final DataInputStream in) throws IOException {
        long value = 0;
        for (int i = 0; i < BYTES_MAX; i++) {
            final int one = in.readUnsignedByte();
            value |= (long) (one & 0x7f) << 7 * i;
            if (one < 0x80) {
                return value;
            }
        }
        throw new IOException("number without an end");
    }
}
