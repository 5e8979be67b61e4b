package spokestall.message;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;

/**
 * The order and types of a record type's fields, read once by reflection. Writes and reads the fields of one record;
 * the caller handles the byte that says whether the record is present.
 *
 * <p>Immutable and thread-safe.
 */
final class RecordLayout {
    private static final ClassValue<RecordLayout> LAYOUTS = new ClassValue<>() {
        @Override
        protected RecordLayout computeValue(final Class<?> type) {
            return new RecordLayout(type);
        }
    };

    /** One field; {@code defaultValue} is its decoded value if the message's version doesn't have the field. */
    private record Field(Method accessor, Type type, int sinceVersion, Object defaultValue) {}

    private final Field[] fields;
    private final Constructor<?> constructor;

    private RecordLayout(final Class<?> type) {
        final RecordComponent[] components = type.getRecordComponents();
        if (components == null) {
            throw new IllegalStateException(type + " is not a record");
        }
        final Class<?>[] types = new Class<?>[components.length];
        fields = new Field[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            final Method accessor = components[i].getAccessor();
            accessor.setAccessible(true);
            fields[i] = new Field(
                    accessor, components[i].getGenericType(), sinceVersion(components[i]), defaultValue(types[i]));
        }
        try {
            constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
        } catch (final NoSuchMethodException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns a record type's layout; throws {@link IllegalStateException} if the type is not a record. */
    static RecordLayout of(final Class<?> type) {
        return LAYOUTS.get(type);
    }

    private static int sinceVersion(final RecordComponent component) {
        final SinceVersion since = component.getAnnotation(SinceVersion.class);
        return since == null ? MessageCodec.OLDEST_VERSION : since.value();
    }

    private static Object defaultValue(final Class<?> type) {
        return type == boolean.class
                ? (Object) false
                : type == int.class ? (Object) 0 : type == long.class ? (Object) 0L : null;
    }

    /** Writes the fields that a version has. */
    void write(final DataOutputStream out, final Object record, final int version) throws IOException {
        try {
            for (final Field field : fields) {
                if (field.sinceVersion <= version) {
                    RecordEncoder.write(out, field.type, field.accessor.invoke(record), version);
                }
            }
        } catch (final ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes the fields that the oldest version lacks. In a stored record they follow all other fields. */
    void writeLaterFields(final DataOutputStream out, final Object record) throws IOException {
        try {
            for (final Field field : fields) {
                if (field.sinceVersion > MessageCodec.OLDEST_VERSION) {
                    RecordEncoder.write(out, field.type, field.accessor.invoke(record), MessageCodec.OLDEST_VERSION);
                }
            }
        } catch (final ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads a record that has the fields of a version. */
    Object read(final DataInputStream in, final int version) throws IOException {
        return construct(values(in, version));
    }

    /** Reads a stored record. If an older program wrote it, some or all later fields are missing at its end. */
    Object readStored(final DataInputStream in) throws IOException {
        final Object[] values = values(in, MessageCodec.OLDEST_VERSION);
        for (int i = 0; i < fields.length; i++) {
            if (fields[i].sinceVersion > MessageCodec.OLDEST_VERSION && in.available() > 0) {
                values[i] = RecordDecoder.read(in, fields[i].type, MessageCodec.OLDEST_VERSION);
            }
        }
        return construct(values);
    }

    private Object[] values(final DataInputStream in, final int version) throws IOException {
        final Object[] values = new Object[fields.length];
        for (int i = 0; i < fields.length; i++) {
            values[i] = fields[i].sinceVersion > version
                    ? fields[i].defaultValue
                    : RecordDecoder.read(in, fields[i].type, version);
        }
        return values;
    }

    private Object construct(final Object[] values) throws IOException {
        try {
            return constructor.newInstance(values);
        } catch (final ReflectiveOperationException e) {
            throw new IOException("invalid " + constructor.getDeclaringClass().getSimpleName(), e);
        }
    }
}
