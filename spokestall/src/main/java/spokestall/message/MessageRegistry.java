package spokestall.message;

import java.util.HashMap;
import java.util.Map;

/**
 * The numbers that identify message types in frames. A number that was once released is never given to another type.
 *
 * <p>Threading: types are registered before the first message is encoded or decoded; after that, any thread may read
 * the registry. There is one registry per process, because all nodes in it use the same numbers.
 */
public final class MessageRegistry {
    /** A number fits into one byte, so that the upper byte of the two that are written is zero. */
    private static final int MAX_NUMBER = 255;

    private static final Map<Integer, Class<? extends Record>> TYPES = new HashMap<>();
    private static final Map<Class<?>, Integer> NUMBERS = new HashMap<>();

    private MessageRegistry() {}

    /**
     * Registers the number of a message type. Does nothing if the type already has this number.
     *
     * @throws IllegalStateException if the number is out of range or belongs to another type
     */
    public static synchronized void register(final int number, final Class<? extends Record> type) {
        if (number < 1 || number > MAX_NUMBER) {
            throw new IllegalStateException(
                    number + " is not a message number; numbers from 1 to " + MAX_NUMBER + " are valid");
        }
        final Class<? extends Record> registered = TYPES.put(number, type);
        if (registered != null && registered != type) {
            throw new IllegalStateException(
                    "message number " + number + " is registered for both " + registered + " and " + type);
        }
        NUMBERS.put(type, number);
    }

    /** Returns the type with a number, or null if there is none. */
    static Class<? extends Record> type(final int number) {
        return TYPES.get(number);
    }

    /** Returns a type's number; throws {@link IllegalStateException} if the type is not registered. */
    static int number(final Class<?> type) {
        final Integer number = NUMBERS.get(type);
        if (number == null) {
            throw new IllegalStateException("no message number is registered for " + type);
        }
        return number;
    }

    /** Returns a copy of all registrations, for tests of the format. */
    static synchronized Map<Integer, Class<? extends Record>> copy() {
        return Map.copyOf(TYPES);
    }

    /** Replaces all registrations by those of an earlier {@link #copy}, for tests of the format. */
    static synchronized void restore(final Map<Integer, Class<? extends Record>> copy) {
        TYPES.clear();
        NUMBERS.clear();
        copy.forEach(MessageRegistry::register);
    }
}
