package spokestall.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Variable-length integers (LEB128): seven bits per byte, the lowest bits first; the top bit of a byte says that
 * another byte follows. Signed values are zigzag-encoded first, so that small negative values are short too.
 */
final class VarInts {
    private static final int MAX_BYTES = 10;
    private static final int BITS_PER_BYTE = 7;
    private static final int VALUE_BITS = 0x7f;
    private static final int CONTINUATION_BIT = 0x80;

    private VarInts() {}

    /** Zigzag-encodes a value: maps 0, -1, 1, -2, ... to 0, 1, 2, 3, ... */
    static long zigZag(final long value) {
        return value << 1 ^ value >> 63;
    }

    /** Reverses {@link #zigZag}. */
    static long unZigZag(final long value) {
        return value >>> 1 ^ -(value & 1);
    }

    /** Writes a value, interpreted as unsigned, in one to ten bytes. */
    static void write(final DataOutputStream out, final long value) throws IOException {
        long remaining = value;
        while ((remaining & ~(long) VALUE_BITS) != 0) {
            out.writeByte((int) (remaining & VALUE_BITS | CONTINUATION_BIT));
            remaining >>>= BITS_PER_BYTE;
        }
        out.writeByte((int) remaining);
    }

    /** Reads a value; throws {@link IOException} if it is longer than ten bytes. */
    static long read(final DataInputStream in) throws IOException {
        long value = 0;
        for (int i = 0; i < MAX_BYTES; i++) {
            final int next = in.readUnsignedByte();
            value |= (long) (next & VALUE_BITS) << BITS_PER_BYTE * i;
            if (next < CONTINUATION_BIT) {
                return value;
            }
        }
        throw new IOException("integer has more than ten bytes");
    }
}
