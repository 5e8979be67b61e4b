package spokestall.message;

import java.io.DataInputStream;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the values that {@link RecordEncoder} writes. The input is not trusted: a length above {@link
 * MessageCodec#MAX_FIELD_BYTES} or above the remaining input is rejected with an {@link IOException} before any memory
 * of that size is allocated. Thread-safe.
 */
final class RecordDecoder {
    /** Maximum initial capacity of a list whose elements have not been read yet. */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private RecordDecoder() {}

    /** Reads a value of a type; null where {@link RecordEncoder#write} wrote null. */
    static Object read(final DataInputStream in, final Type type, final int version) throws IOException {
        if (type == long.class) {
            return version >= MessageCodec.VAR_INT_VERSION ? VarInts.unZigZag(VarInts.read(in)) : in.readLong();
        } else if (type == int.class) {
            return version >= MessageCodec.VAR_INT_VERSION ? toInt(VarInts.unZigZag(VarInts.read(in))) : in.readInt();
        } else if (type == double.class) {
            return in.readDouble();
        } else if (type == boolean.class) {
            return in.readBoolean();
        } else if (type instanceof ParameterizedType collection) {
            return readCollection(in, collection, version);
        }
        if (version >= MessageCodec.VAR_INT_VERSION && (type == String.class || type == byte[].class)) {
            final long lengthPlusOne = VarInts.read(in);
            return lengthPlusOne == 0 ? null : readBytes(in, type, lengthPlusOne - 1);
        }
        return in.readBoolean() ? readNonNull(in, (Class<?>) type, version) : null;
    }

    private static int toInt(final long value) throws IOException {
        if (value != (int) value) {
            throw new IOException("integer out of range: " + value);
        }
        return (int) value;
    }

    private static Object readBytes(final DataInputStream in, final Type type, final long length) throws IOException {
        final byte[] bytes = new byte[checkedSize(in, length)];
        in.readFully(bytes);
        return type == byte[].class ? bytes : new String(bytes, StandardCharsets.UTF_8);
    }

    private static Object readCollection(final DataInputStream in, final ParameterizedType type, final int version)
            throws IOException {
        final Type[] arguments = type.getActualTypeArguments();
        final int size = checkedSize(in, version >= MessageCodec.VAR_INT_VERSION ? VarInts.read(in) : in.readInt());
        if (type.getRawType() == List.class) {
            final List<Object> list = new ArrayList<>(Math.min(size, MAX_INITIAL_CAPACITY));
            for (int i = 0; i < size; i++) {
                list.add(read(in, RecordEncoder.unboxed(arguments[0]), version));
            }
            return list;
        }
        final Map<Object, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            final Object key = read(in, RecordEncoder.unboxed(arguments[0]), version);
            map.put(key, read(in, RecordEncoder.unboxed(arguments[1]), version));
        }
        return map;
    }

    /** Checks a length. Every entry takes at least one byte, so a length larger than the remaining input is invalid. */
    private static int checkedSize(final DataInputStream in, final long size) throws IOException {
        if (size < 0 || size > MessageCodec.MAX_FIELD_BYTES || size > in.available()) {
            throw new IOException("invalid field length: " + size + " bytes or entries");
        }
        return (int) size;
    }

    private static Object readNonNull(final DataInputStream in, final Class<?> type, final int version)
            throws IOException {
        if (type == String.class || type == byte[].class) {
            return readBytes(in, type, in.readInt());
        } else if (type.isEnum()) {
            final int ordinal = in.readUnsignedByte();
            final Object[] constants = type.getEnumConstants();
            if (ordinal >= constants.length) {
                throw new IOException("unknown constant of " + type.getSimpleName());
            }
            return constants[ordinal];
        }
        return RecordLayout.of(type).read(in, version);
    }
}
