package spokestall.usage;

import java.util.Map;

/**
 * The counts of a window as they are reported. This is the value of the window's register, which is written once; afterwards
 * only {@code completed} is set.
 *
 * <p>Immutable. Encoded in the order of its components, so new components must be added at the end.
 *
 * @param window the window's number: its start on the fleet clock divided by the window length
 * @param counts the number of requests that upstreams began in the window, by tenant
 * @param owner the owner value of the lease under which it was sealed
 * @param fencingToken the fencing token of that lease
 * @param completed whether the platform confirmed the report
 */
public record SealedWindow(long window, Map<String, Long> counts, String owner, long fencingToken, boolean completed) {
    // Keys are stored on disk: the prefix, then 19 digits so that keys sort in window order. Neither part may change.
    private static final String KEY_PREFIX = "usage/";

    /** Returns the key of the register that stores a window's counts. */
    public static String key(final long window) {
        return KEY_PREFIX + String.format("%019d", window);
    }

    /** Returns the window of a register key, or -1 if the key isn't a window's. */
    public static long windowOf(final String key) {
        return key.startsWith(KEY_PREFIX) ? Long.parseLong(key.substring(KEY_PREFIX.length())) : -1;
    }

    /** Returns the same counts, marked as confirmed by the platform. */
    SealedWindow asCompleted() {
        return new SealedWindow(window, counts, owner, fencingToken, true);
    }
}
