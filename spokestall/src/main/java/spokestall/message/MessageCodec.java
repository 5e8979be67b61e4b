package spokestall.message;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes records as {@code DataOutputStream} fields in the order they are declared, and reads them back. A note begins with
 * its version, but for the first one, which has none: there a kind's number stands first, whose upper byte is zero. A
 * program reads the versions up to its own and writes whichever it is told to. Records alone (values that are kept) have
 * the first version's fields, and behind them their later ones, which older programs leave unread. From the third version on, whole numbers and lengths take as many bytes as they need
 * ({@link VarInts}).
 */
public final class MessageCodec {
    /** No list, text or byte field may say it is longer than this. */
    public static final int FIELD_MAX = 32 << 20;
    /** The version of messages that this program has, and the oldest that it can read and write. */
    public static final int VERSION = 4;
    /** See {@link #VERSION}. */
    public static final int OLDEST = 1;

    private static final int COMPACT = 3;
    private static final Map<Integer, Class<? extends Record>> BY_NUMBER = new HashMap<>();
    private static final Map<Class<?>, Integer> BY_CLASS = new HashMap<>();
    private static final ClassValue<Shape> SHAPES = new ClassValue<>() {
        @Override
        protected Shape computeValue(final Class<?> type) {
            return new Shape(type);
        }
    };

    private MessageCodec() {}

    /** Gives a kind of note its number. */
    public static synchronized void number(final int number, final Class<? extends Record> type) {
        if (number < 1 || number > 255) {
            throw new IllegalStateException(number + " is no number for a note");
        }
        final Class<? extends Record> had = BY_NUMBER.put(number, type);
        if (had != null && had != type) {
            throw new IllegalStateException("number " + number + " given twice");
        }
        BY_CLASS.put(type, number);
    }

    /** A copy of the table of numbers, for tests of the format. */
    static synchronized Map<Integer, Class<? extends Record>> numbered() {
        return Map.copyOf(BY_NUMBER);
    }

    /** Puts a copy that was taken back in place of the table of numbers, for tests of the format. */
    static synchronized void restore(final Map<Integer, Class<? extends Record>> numbered) {
        BY_NUMBER.clear();
        BY_CLASS.clear();
        numbered.forEach(MessageCodec::number);
    }

    /** A numbered note as bytes, in a version. */
    public static byte[] message(final Message message, final int version) {
        final Integer number = BY_CLASS.get(message.getClass());
        if (number == null) {
            throw new IllegalStateException("no number for " + message.getClass());
        }
        return bytes(number, message, version);
    }

    /** Reads a numbered note; throws {@link UnknownMessageException} on one that came after this program, and another exception on
     * anything odd. */
    public static Message message(final byte[] frame) throws IOException {
        final DataInputStream in = new DataInputStream(new ByteArrayInputStream(frame));
        final int version = Math.max(OLDEST, frame[0]);
        if (version > VERSION) {
            throw new UnknownMessageException("version " + version);
        }
        if (version > OLDEST) {
            in.readByte();
        }
        final int number = in.readShort();
        final Class<? extends Record> type = BY_NUMBER.get(number);
        if (type == null) {
            throw new UnknownMessageException("kind " + number + " of version " + version);
        }
        final Message message = (Message) read(in, type, version);
        if (in.available() > 0) {
            throw new IOException("bytes left over after " + type.getSimpleName());
        }
        return message;
    }

    /** A record alone as bytes. */
    public static byte[] bytes(final Record record) {
        return bytes(-1, record, OLDEST);
    }

    /** Reads a record alone. */
    public static <T extends Record> T record(final byte[] bytes, final Class<T> type) {
        try {
            return type.cast(readAlone(new DataInputStream(new ByteArrayInputStream(bytes)), type));
        } catch (final IOException e) {
            throw new IllegalArgumentException("not a " + type.getSimpleName(), e);
        }
    }

    private static Object readAlone(final DataInputStream in, final Class<?> type) throws IOException {
        if (!in.readBoolean()) {
            return null;
        }
        return SHAPES.get(type).readAlone(in);
    }

    private static byte[] bytes(final int number, final Object record, final int version) {
        try {
            final ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
            final DataOutputStream out = new DataOutputStream(bytes);
            if (number >= 0) {
                if (version > OLDEST) {
                    out.writeByte(version);
                }
                out.writeShort(number);
            }
            write(out, record.getClass(), record, version);
            if (number < 0) {
                SHAPES.get(record.getClass()).writeLater(out, record);
            }
            return bytes.toByteArray();
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(final DataOutputStream out, final Type type, final Object value, final int version)
            throws IOException {
        if (type == long.class) {
            number(out, (Long) value, true, version);
        } else if (type == int.class) {
            number(out, (Integer) value, false, version);
        } else if (type == double.class) {
            out.writeDouble((Double) value);
        } else if (type == boolean.class) {
            out.writeBoolean((Boolean) value);
        } else if (type instanceof ParameterizedType p) {
            writeMany(out, p, value, version);
        } else if (version >= COMPACT && (type == String.class || type == byte[].class)) {
            final byte[] bytes = value instanceof String text ? text.getBytes(StandardCharsets.UTF_8) : (byte[]) value;
            VarInts.write(out, bytes == null ? 0 : bytes.length + 1L);
            if (bytes != null) {
                out.write(bytes);
            }
        } else {
            out.writeBoolean(value != null);
            if (value != null) {
                writePresent(out, (Class<?>) type, value, version);
            }
        }
    }

    private static void number(final DataOutputStream out, final long value, final boolean wide, final int version)
            throws IOException {
        if (version >= COMPACT) {
            VarInts.write(out, VarInts.folded(value));
        } else if (wide) {
            out.writeLong(value);
        } else {
            out.writeInt((int) value);
        }
    }

    private static void size(final DataOutputStream out, final int size, final int version) throws IOException {
        if (version >= COMPACT) {
            VarInts.write(out, size);
        } else {
            out.writeInt(size);
        }
    }

    private static void writeMany(
            final DataOutputStream out, final ParameterizedType p, final Object value, final int version)
            throws IOException {
        if (p.getRawType() == List.class) {
            final List<?> list = (List<?>) value;
            size(out, list.size(), version);
            for (final Object o : list) {
                write(out, boxed(p.getActualTypeArguments()[0]), o, version);
            }
        } else {
            final Map<?, ?> map = (Map<?, ?>) value;
            size(out, map.size(), version);
            for (final Map.Entry<?, ?> e : map.entrySet()) {
                write(out, boxed(p.getActualTypeArguments()[0]), e.getKey(), version);
                write(out, boxed(p.getActualTypeArguments()[1]), e.getValue(), version);
            }
        }
    }

    private static Type boxed(final Type type) {
        return type == Long.class ? long.class : type == Integer.class ? int.class : type;
    }

    private static void writePresent(
            final DataOutputStream out, final Class<?> type, final Object value, final int version) throws IOException {
        if (type == String.class) {
            final byte[] utf = ((String) value).getBytes(StandardCharsets.UTF_8);
            out.writeInt(utf.length);
            out.write(utf);
        } else if (type == byte[].class) {
            out.writeInt(((byte[]) value).length);
            out.write((byte[]) value);
        } else if (type.isEnum()) {
            out.writeByte(((Enum<?>) value).ordinal());
        } else {
            SHAPES.get(type).write(out, value, version);
        }
    }

    private static Object read(final DataInputStream in, final Type type, final int version) throws IOException {
        if (type == long.class) {
            return version >= COMPACT ? VarInts.unfolded(VarInts.read(in)) : in.readLong();
        } else if (type == int.class) {
            return version >= COMPACT ? (int) inInt(VarInts.unfolded(VarInts.read(in))) : in.readInt();
        } else if (type == double.class) {
            return in.readDouble();
        } else if (type == boolean.class) {
            return in.readBoolean();
        } else if (type instanceof ParameterizedType p) {
            return readMany(in, p, version);
        }
        if (version >= COMPACT && (type == String.class || type == byte[].class)) {
            return readText(in, type);
        }
        return in.readBoolean() ? readPresent(in, (Class<?>) type, version) : null;
    }

    private static long inInt(final long value) throws IOException {
        if (value != (int) value) {
            throw new IOException("number " + value);
        }
        return value;
    }

    private static Object readText(final DataInputStream in, final Type type) throws IOException {
        final long length = VarInts.read(in);
        if (length == 0) {
            return null;
        }
        final byte[] bytes = new byte[size(in, length - 1)];
        in.readFully(bytes);
        return type == byte[].class ? bytes : new String(bytes, StandardCharsets.UTF_8);
    }

    private static Object readMany(final DataInputStream in, final ParameterizedType p, final int version)
            throws IOException {
        final int size = size(in, version >= COMPACT ? VarInts.read(in) : in.readInt());
        if (p.getRawType() == List.class) {
            final List<Object> list = new ArrayList<>(Math.min(size, 1024));
            for (int i = 0; i < size; i++) {
                list.add(read(in, boxed(p.getActualTypeArguments()[0]), version));
            }
            return list;
        }
        final Map<Object, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            final Object key = read(in, boxed(p.getActualTypeArguments()[0]), version);
            map.put(key, read(in, boxed(p.getActualTypeArguments()[1]), version));
        }
        return map;
    }

    private static int size(final DataInputStream in, final long size) throws IOException {
        if (size < 0 || size > FIELD_MAX || size > in.available()) {
            throw new IOException("field of " + size + " bytes or entries");
        }
        return (int) size;
    }

    private static Object readPresent(final DataInputStream in, final Class<?> type, final int version)
            throws IOException {
        if (type == String.class || type == byte[].class) {
            final byte[] bytes = new byte[size(in, in.readInt())];
            in.readFully(bytes);
            return type == byte[].class ? bytes : new String(bytes, StandardCharsets.UTF_8);
        } else if (type.isEnum()) {
            final int at = in.readUnsignedByte();
            final Object[] values = type.getEnumConstants();
            if (at >= values.length) {
                throw new IOException("no such " + type.getSimpleName());
            }
            return values[at];
        }
        return SHAPES.get(type).read(in, version);
    }

    /** How a record's fields lie one after another. What reflection tells of them is asked once. */
    private static final class Shape {
        /** One field of a record. */
        private record Field(Method get, Type type, int since, Object absent) {}

        private final Field[] fields;
        private final Constructor<?> make;

        Shape(final Class<?> type) {
            final RecordComponent[] parts = type.getRecordComponents();
            if (parts == null) {
                throw new IllegalStateException(type + " is no record");
            }
            final Class<?>[] types = new Class<?>[parts.length];
            fields = new Field[parts.length];
            for (int i = 0; i < parts.length; i++) {
                types[i] = parts[i].getType();
                final Method get = parts[i].getAccessor();
                get.setAccessible(true);
                fields[i] = new Field(get, parts[i].getGenericType(), since(parts[i]), absent(types[i]));
            }
            try {
                make = type.getDeclaredConstructor(types);
                make.setAccessible(true);
            } catch (final NoSuchMethodException e) {
                throw new IllegalStateException(e);
            }
        }

        void write(final DataOutputStream out, final Object value, final int version) throws IOException {
            try {
                for (final Field field : fields) {
                    if (field.since <= version) {
                        MessageCodec.write(out, field.type, field.get.invoke(value), version);
                    }
                }
            } catch (final ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        /** The fields that the first version lacks, one after another. */
        void writeLater(final DataOutputStream out, final Object value) throws IOException {
            try {
                for (final Field field : fields) {
                    if (field.since > OLDEST) {
                        MessageCodec.write(out, field.type, field.get.invoke(value), OLDEST);
                    }
                }
            } catch (final ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        private static int since(final RecordComponent part) {
            final SinceVersion since = part.getAnnotation(SinceVersion.class);
            return since == null ? OLDEST : since.value();
        }

        private static Object absent(final Class<?> type) {
            return type == boolean.class
                    ? (Object) false
                    : type == int.class ? (Object) 0 : type == long.class ? (Object) 0L : null;
        }

        Object read(final DataInputStream in, final int version) throws IOException {
            return made(values(in, version));
        }

        /** A program that was older wrote none of the later fields. */
        Object readAlone(final DataInputStream in) throws IOException {
            final Object[] values = values(in, OLDEST);
            for (int i = 0; i < fields.length; i++) {
                if (fields[i].since > OLDEST && in.available() > 0) {
                    values[i] = MessageCodec.read(in, fields[i].type, OLDEST);
                }
            }
            return made(values);
        }

        private Object[] values(final DataInputStream in, final int version) throws IOException {
            final Object[] values = new Object[fields.length];
            for (int i = 0; i < fields.length; i++) {
                values[i] =
                        fields[i].since > version ? fields[i].absent : MessageCodec.read(in, fields[i].type, version);
            }
            return values;
        }

        private Object made(final Object[] values) throws IOException {
            try {
                return make.newInstance(values);
            } catch (final ReflectiveOperationException e) {
                throw new IOException("bad " + make.getDeclaringClass().getSimpleName(), e);
            }
        }
    }
}
