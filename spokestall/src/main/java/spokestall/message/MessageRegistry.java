package spokestall.message;

import java.util.HashMap;
import java.util.Map;

/**
 * The numbers by which types of messages are identified in frames. A number that was once released stays with its type.
 *
 * <p>Threading: types are registered before the first message is encoded or decoded; from then on the registry is only read,
 * from any thread. It is one per process, as the numbers are the same for all nodes in it.
 */
public final class MessageRegistry {
    /** Numbers fit one byte, so that the upper byte of the two that are written is zero. */
    private static final int MAX_NUMBER = 255;

    private static final Map<Integer, Class<? extends Record>> TYPES = new HashMap<>();
    private static final Map<Class<?>, Integer> NUMBERS = new HashMap<>();

    private MessageRegistry() {}

    /**
     * Gives a type of message its number. Does nothing if it has that number already.
     *
     * @throws IllegalStateException if the number is out of bounds or belongs to another type
     */
    public static synchronized void register(final int number, final Class<? extends Record> type) {
        if (number < 1 || number > MAX_NUMBER) {
            throw new IllegalStateException(number + " is no number for a message, 1 to " + MAX_NUMBER + " are");
        }
        final Class<? extends Record> registered = TYPES.put(number, type);
        if (registered != null && registered != type) {
            throw new IllegalStateException("number " + number + " is registered for " + registered + " and " + type);
        }
        NUMBERS.put(type, number);
    }

    /** Returns the type with a number, null if there is none. */
    static Class<? extends Record> type(final int number) {
        return TYPES.get(number);
    }

    /** Returns a type's number; throws {@link IllegalStateException} if it has none. */
    static int number(final Class<?> type) {
        final Integer number = NUMBERS.get(type);
        if (number == null) {
            throw new IllegalStateException("no number for " + type);
        }
        return number;
    }

    /** Returns a copy of all numbers with their types, for tests of the format. */
    static synchronized Map<Integer, Class<? extends Record>> copy() {
        return Map.copyOf(TYPES);
    }

    /** Replaces all numbers by those of an earlier {@link #copy}, for tests of the format. */
    static synchronized void restore(final Map<Integer, Class<? extends Record>> copy) {
        TYPES.clear();
        NUMBERS.clear();
        copy.forEach(MessageRegistry::register);
    }
}
