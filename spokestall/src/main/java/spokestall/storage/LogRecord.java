package spokestall.storage;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.zip.CRC32;

/**
 * One record of the log. Its encoding in a segment, big-endian:
 *
 * <pre>
 * 4 bytes  magic number
 * 4 bytes  incarnation: one more than the highest found when the log was opened, 1 in a new log
 * 8 bytes  sequence number: one more than the previous record's
 * 8 bytes  sequence number of the first record of the same commit
 * 8 bytes  floor: records with a lower sequence number are no longer needed
 * 4 bytes  length of the body
 * 4 bytes  CRC-32 of incarnation, sequence numbers, floor and body
 * body:    2 bytes length of the key, the key, 1 byte that is nonzero if there is a value, the value
 * </pre>
 *
 * @param value null in a record that deletes the key
 */
record LogRecord(int incarnation, long seq, long batchSeq, long floorSeq, String key, byte[] value) {
    private static final int MAGIC = 0x53504b31;
    private static final int HEADER_BYTES = 4 + 4 + 8 + 8 + 8 + 4 + 4;
    private static final int CHECKED_HEADER_BYTES = 4 + 8 + 8 + 8;
    private static final int KEY_LENGTH_BYTES = 2;
    private static final int VALUE_PRESENT_BYTES = 1;
    private static final int MIN_BODY_BYTES = KEY_LENGTH_BYTES + VALUE_PRESENT_BYTES;

    /** A decoded record and its position in a segment; {@code endOffset} is exclusive. */
    record Located(int segment, int offset, int endOffset, LogRecord record) {
        int bytes() {
            return endOffset - offset;
        }
    }

    /** Returns the encoded size, in bytes, of a record with this key and value. */
    static int encodedBytes(final String key, final byte[] value) {
        return HEADER_BYTES
                + KEY_LENGTH_BYTES
                + key.getBytes(StandardCharsets.UTF_8).length
                + VALUE_PRESENT_BYTES
                + (value == null ? 0 : value.length);
    }

    byte[] encode() {
        final byte[] body = body();
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(MAGIC)
                .putInt(incarnation)
                .putLong(seq)
                .putLong(batchSeq)
                .putLong(floorSeq)
                .putInt(body.length)
                .putInt(checksum(body, 0, body.length))
                .put(body)
                .array();
    }

    private byte[] body() {
        try {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            final DataOutputStream out = new DataOutputStream(bytes);
            out.writeUTF(key);
            out.writeBoolean(value != null);
            if (value != null) {
                out.write(value);
            }
            return bytes.toByteArray();
        } catch (final IOException e) {
            throw new IllegalStateException("can't encode a record whose key has " + key.length() + " characters", e);
        }
    }

    private int checksum(final byte[] bytes, final int offset, final int length) {
        final CRC32 crc = new CRC32();
        crc.update(ByteBuffer.allocate(CHECKED_HEADER_BYTES)
                .putInt(incarnation)
                .putLong(seq)
                .putLong(batchSeq)
                .putLong(floorSeq)
                .flip());
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /** Decodes the record that starts at an offset; returns null if it is incomplete or its checksum doesn't match. */
    static Located decode(final int segment, final byte[] bytes, final int offset) {
        if (offset + HEADER_BYTES > bytes.length || bytes[offset] != MAGIC >>> 24) {
            return null;
        }
        final ByteBuffer in = ByteBuffer.wrap(bytes, offset, bytes.length - offset);
        if (in.getInt() != MAGIC) {
            return null;
        }
        final int incarnation = in.getInt();
        final long seq = in.getLong();
        final long batchSeq = in.getLong();
        final long floorSeq = in.getLong();
        final int length = in.getInt();
        final int checksum = in.getInt();
        final int body = offset + HEADER_BYTES;
        if (length < MIN_BODY_BYTES || length > bytes.length - body) {
            return null;
        }
        final LogRecord header = new LogRecord(incarnation, seq, batchSeq, floorSeq, "", null);
        if (header.checksum(bytes, body, length) != checksum) {
            return null;
        }
        final int keyBytes = in.getShort() & 0xffff;
        final String key = new String(bytes, body + KEY_LENGTH_BYTES, keyBytes, StandardCharsets.UTF_8);
        final int valueOffset = body + KEY_LENGTH_BYTES + keyBytes + VALUE_PRESENT_BYTES;
        final byte[] value = bytes[valueOffset - 1] == 0 ? null : Arrays.copyOfRange(bytes, valueOffset, body + length);
        final LogRecord record = new LogRecord(incarnation, seq, batchSeq, floorSeq, key, value);
        return new Located(segment, offset, body + length, record);
    }
}
