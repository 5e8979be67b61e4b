package spokestall.message;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds sample instances of record types for tests of the format. A value depends only on its position in the
 * traversal of the fields and on its type's kind, never on the name of a type or field, so that renaming changes no
 * bytes.
 */
final class SampleRecords {
    private final boolean full;
    private int position;

    private SampleRecords(final boolean full) {
        this.full = full;
    }

    /**
     * Returns a record with all fields set, each to a different value. Lists and maps have two entries; an enum field
     * has the last constant.
     */
    static Record full(final Class<? extends Record> type) {
        return (Record) new SampleRecords(true).record(type);
    }

    /** Returns a record whose fields are null where they may be null, else zero, false or an empty collection. */
    static Record empty(final Class<? extends Record> type) {
        return (Record) new SampleRecords(false).record(type);
    }

    private Object record(final Class<?> type) {
        final RecordComponent[] components = type.getRecordComponents();
        final Class<?>[] types = new Class<?>[components.length];
        final Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = value(components[i].getGenericType());
        }
        try {
            final Constructor<?> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (final ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private Object value(final Type type) {
        position++;
        if (type instanceof ParameterizedType many) {
            return many.getRawType() == List.class ? list(many) : map(many);
        } else if (type == long.class || type == Long.class) {
            return full ? longValue() : 0L;
        } else if (type == int.class || type == Integer.class) {
            return full ? 100_000 + position : 0;
        } else if (type == boolean.class) {
            return full;
        }
        return full ? reference((Class<?>) type) : null;
    }

    /** Returns large positive and negative values alternately. */
    private long longValue() {
        return position % 2 == 0 ? (1L << 60) + position : -(1L << 40) - position;
    }

    private Object reference(final Class<?> type) {
        if (type == String.class) {
            return "text-" + position + "-\u00fc";
        } else if (type == byte[].class) {
            return ("bytes-" + position).getBytes(StandardCharsets.UTF_8);
        } else if (type.isEnum()) {
            return type.getEnumConstants()[type.getEnumConstants().length - 1];
        } else if (type.isRecord()) {
            return record(type);
        }
        throw new IllegalStateException("no sample value for " + type);
    }

    private List<Object> list(final ParameterizedType type) {
        final Type of = type.getActualTypeArguments()[0];
        return full ? List.of(value(of), value(of)) : List.of();
    }

    private Map<Object, Object> map(final ParameterizedType type) {
        final Map<Object, Object> map = new LinkedHashMap<>();
        for (int i = 0; full && i < 2; i++) {
            final Object key = value(type.getActualTypeArguments()[0]);
            map.put(key, value(type.getActualTypeArguments()[1]));
        }
        return map;
    }
}
