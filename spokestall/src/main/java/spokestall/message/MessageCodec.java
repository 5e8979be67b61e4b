package spokestall.message;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Encodes and decodes numbered messages, which nodes send to each other, and stored records, which a node keeps on disk or
 * inside a message's byte fields.
 *
 * <p>Format of a message: one byte with the version, two bytes with the type's number in {@link MessageRegistry}, then the
 * record. Version 1 has no version byte; a frame of version 1 is recognised by the upper byte of its number, which is zero.
 * Format of a stored record: the record in the encoding and with the fields of version 1, then its later fields (see {@link
 * SinceVersion}), which older programs leave unread. A record is one byte that says whether it is present, then its fields in
 * the order of their declaration: field names are not part of the format; field order, field types and the ordinals of enum
 * constants are. From version 3 on, integers and lengths of messages have a variable length ({@link VarInts}).
 *
 * <p>A program decodes every version from {@link #OLDEST_VERSION} to {@link #CURRENT_VERSION} and encodes in any of them.
 *
 * <p>Thread-safe: it has no state of its own. Records and the lists inside them must not change while they are encoded.
 */
public final class MessageCodec {
    /** Largest length of a text, byte array, list or map that is decoded, in bytes or entries. */
    public static final int MAX_FIELD_BYTES = 32 << 20;
    /** Newest version of messages that this program encodes and decodes. */
    public static final int CURRENT_VERSION = 4;
    /** Oldest version of messages that this program encodes and decodes. */
    public static final int OLDEST_VERSION = 1;

    /** First version in which integers and lengths are {@link VarInts}. */
    static final int VAR_INT_VERSION = 3;

    private static final int INITIAL_BYTES = 256;

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param version from {@link #OLDEST_VERSION} to {@link #CURRENT_VERSION}; fields of later versions are left out
     * @throws IllegalStateException if the message's type has no number
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
     * Decodes a message from a complete frame of at least two bytes, in whichever version it is encoded. Fields of later
     * versions are zero, false or null.
     *
     * @throws UnknownMessageException if the frame's version or type is not known to this program
     * @throws IOException if the frame is not a correct encoding of its type
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
            throw new UnknownMessageException("kind " + number + " of version " + version);
        }
        final Message message = (Message) RecordDecoder.read(in, type, version);
        if (in.available() > 0) {
            throw new IOException("bytes left over after " + type.getSimpleName());
        }
        return message;
    }

    /** Encodes a record to be stored. */
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
     * Decodes a stored record. Later fields that an older program did not write are zero, false or null; bytes behind the last
     * known field are ignored, because a newer program may have written them.
     *
     * @return null if the encoding says that there is no record
     * @throws IllegalArgumentException if the bytes are not a correct encoding of the type
     */
    public static <T extends Record> T decodeRecord(final byte[] bytes, final Class<T> type) {
        try {
            final DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
            return in.readBoolean() ? type.cast(RecordLayout.of(type).readStored(in)) : null;
        } catch (final IOException e) {
            throw new IllegalArgumentException("not a " + type.getSimpleName(), e);
        }
    }
}
