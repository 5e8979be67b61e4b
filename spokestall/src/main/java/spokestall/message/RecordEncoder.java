package spokestall.message;

import java.io.DataOutputStream;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Writes values of the types that record fields may have. {@link RecordDecoder} is the counterpart. Thread-safe. */
final class RecordEncoder {
    private RecordEncoder() {}

    /**
     * Writes a value: a long, int, double or boolean, a list or map of supported types, a string, a byte array, an enum
     * constant or a record. Only the last four may be null.
     */
    static void write(final DataOutputStream out, final Type type, final Object value, final int version)
            throws IOException {
        if (type == long.class) {
            writeLong(out, (Long) value, version);
        } else if (type == int.class) {
            writeInt(out, (Integer) value, version);
        } else if (type == double.class) {
            out.writeDouble((Double) value);
        } else if (type == boolean.class) {
            out.writeBoolean((Boolean) value);
        } else if (type instanceof ParameterizedType collection) {
            writeCollection(out, collection, value, version);
        } else if (version >= MessageCodec.VAR_INT_VERSION && (type == String.class || type == byte[].class)) {
            writeBytes(out, value);
        } else {
            out.writeBoolean(value != null);
            if (value != null) {
                writeNonNull(out, (Class<?>) type, value, version);
            }
        }
    }

    private static void writeLong(final DataOutputStream out, final long value, final int version) throws IOException {
        if (version >= MessageCodec.VAR_INT_VERSION) {
            VarInts.write(out, VarInts.zigZag(value));
        } else {
            out.writeLong(value);
        }
    }

    private static void writeInt(final DataOutputStream out, final int value, final int version) throws IOException {
        if (version >= MessageCodec.VAR_INT_VERSION) {
            VarInts.write(out, VarInts.zigZag(value));
        } else {
            out.writeInt(value);
        }
    }

    private static void writeSize(final DataOutputStream out, final int size, final int version) throws IOException {
        if (version >= MessageCodec.VAR_INT_VERSION) {
            VarInts.write(out, size);
        } else {
            out.writeInt(size);
        }
    }

    /** Writes a string or byte array, preceded by its length plus one; a length field of zero stands for null. */
    private static void writeBytes(final DataOutputStream out, final Object value) throws IOException {
        final byte[] bytes = value instanceof String text ? text.getBytes(StandardCharsets.UTF_8) : (byte[]) value;
        VarInts.write(out, bytes == null ? 0 : bytes.length + 1L);
        if (bytes != null) {
            out.write(bytes);
        }
    }

    private static void writeCollection(
            final DataOutputStream out, final ParameterizedType type, final Object value, final int version)
            throws IOException {
        final Type[] arguments = type.getActualTypeArguments();
        if (type.getRawType() == List.class) {
            final List<?> list = (List<?>) value;
            writeSize(out, list.size(), version);
            for (final Object element : list) {
                write(out, unboxed(arguments[0]), element, version);
            }
        } else {
            final Map<?, ?> map = (Map<?, ?>) value;
            writeSize(out, map.size(), version);
            for (final Map.Entry<?, ?> entry : map.entrySet()) {
                write(out, unboxed(arguments[0]), entry.getKey(), version);
                write(out, unboxed(arguments[1]), entry.getValue(), version);
            }
        }
    }

    /**
     * Returns the primitive type of a boxed number. Elements of collections are never null, so boxed numbers are
     * encoded like primitive ones.
     */
    static Type unboxed(final Type type) {
        return type == Long.class ? long.class : type == Integer.class ? int.class : type;
    }

    private static void writeNonNull(
            final DataOutputStream out, final Class<?> type, final Object value, final int version) throws IOException {
        if (type == String.class) {
            final byte[] utf8 = ((String) value).getBytes(StandardCharsets.UTF_8);
            out.writeInt(utf8.length);
            out.write(utf8);
        } else if (type == byte[].class) {
            out.writeInt(((byte[]) value).length);
            out.write((byte[]) value);
        } else if (type.isEnum()) {
            out.writeByte(((Enum<?>) value).ordinal());
        } else {
            RecordLayout.of(type).write(out, value, version);
        }
    }
}
