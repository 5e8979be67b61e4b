package spokestall.message;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Encodes and decodes messages, which nodes send to each other, and stored records, which a node keeps on disk or in
 * byte fields of messages.
 *
 * <p>Format of a message: one byte with the version, two bytes with the type's number in {@link MessageRegistry}, then
 * the record. Version 1 has no version byte; a frame of version 1 is recognized by the upper byte of its type number,
 * which is zero.
 *
 * <p>Format of a stored record: the record with the encoding and the fields of version 1, followed by its later fields
 * (see {@link SinceVersion}), which older programs don't read. A record is one byte that says whether it is present,
 * followed by its fields in declaration order. Field names are not part of the format; field order, field types and the
 * ordinals of enum constants are. Since version 3, integers and lengths in messages have a variable length ({@link
 * VarInts}).
 *
 * <p>A program decodes every version from {@link #OLDEST_VERSION} to {@link #CURRENT_VERSION} and can encode in any of
 * them.
 *
 * <p>Thread-safe and stateless. Records and the collections in them must not change while they are encoded.
 */
public final class MessageCodec {
    /** Maximum length of a string, byte array, list or map that is decoded, in bytes or entries. */
    public static final int MAX_FIELD_BYTES = 32 << 20;
    /** Newest message version that this program encodes and decodes. */
    public static final int CURRENT_VERSION = 4;
    /** Oldest message version that this program encodes and decodes. */
    public static final int OLDEST_VERSION = 1;

    /** First version in which integers and lengths are {@link VarInts}. */
    static final int VAR_INT_VERSION = 3;

    private static final int INITIAL_BYTES = 256;

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param version from {@link #OLDEST_VERSION} to {@link #CURRENT_VERSION}; fields of later versions are omitted
     * @throws IllegalStateException if the message's type is not registered
     */
    public static byte[] encode(final Message message, final int version) {
        final int number = MessageRegistry.number(message.getClass());
        try {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
            final DataOutputStream out = new DataOutputStream(bytes);
            if (version > OLDEST_VERSION) {
                out.writeByte(version);
            }
            out.writeShort(number);
            RecordEncoder.write(out, message.getClass(), message, version);
            return bytes.toByteArray();
        } catch (final IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes a message of any known version from a complete frame of at least two bytes. Fields of later versions are
     * zero, false or null.
     *
     * @throws UnknownMessageException if this program doesn't know the frame's version or type
     * @throws IOException if the frame is not a valid encoding of its type
     */
    public static Message decode(final byte[] frame) throws IOException {
        final DataInputStream in = new DataInputStream(new ByteArrayInputStream(frame));
        final int version = Math.max(OLDEST_VERSION, frame[0]);
        if (version > CURRENT_VERSION) {
            throw new UnknownMessageException("version " + version);
        }
        if (version > OLDEST_VERSION) {
            in.readByte();
        }
        final int number = in.readShort();
        final Class<? extends Record> type = MessageRegistry.type(number);
        if (type == null) {
            throw new UnknownMessageException("type " + number + " of version " + version);
        }
        final Message message = (Message) RecordDecoder.read(in, type, version);
        if (in.available() > 0) {
            throw new IOException("trailing bytes after " + type.getSimpleName());
        }
        return message;
    }

    /** Encodes a record for storage. */
    public static byte[] encodeRecord(final Record record) {
        try {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
            final DataOutputStream out = new DataOutputStream(bytes);
            RecordEncoder.write(out, record.getClass(), record, OLDEST_VERSION);
            RecordLayout.of(record.getClass()).writeLaterFields(out, record);
            return bytes.toByteArray();
        } catch (final IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes a stored record. Later fields that an older program did not write are zero, false or null. Bytes after
     * the last known field are ignored, because a newer program may have written them.
     *
     * @return null if the bytes encode an absent record
     * @throws IllegalArgumentException if the bytes are not a valid encoding of the type
     */
    public static <T extends Record> T decodeRecord(final byte[] bytes, final Class<T> type) {
        try {
            final DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
            return in.readBoolean() ? type.cast(RecordLayout.of(type).readStored(in)) : null;
        } catch (final IOException e) {
            throw new IllegalArgumentException("not a valid " + type.getSimpleName(), e);
        }
    }
}
