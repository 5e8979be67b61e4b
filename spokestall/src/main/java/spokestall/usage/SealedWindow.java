package spokestall.usage;

import java.util.Map;

/**
 * The counts of a window as they are reported: the value of a write-once register, to which later only is added that they were
 * reported.
 *
 * <p>Immutable. Stored by the order of its components, so components are only ever added at the end.
 *
 * @param window the window's number: its start on the fleet's time, divided by the window's span
 * @param counts requests that upstreams began in the window, by tenant
 * @param owner the owner value of the lease under which it was sealed
 * @param fencingToken the fencing token of that lease
 * @param completed whether the platform confirmed the report
 */
public record SealedWindow(long window, Map<String, Long> counts, String owner, long fencingToken, boolean completed) {
    // Written on disk as part of the key, before 19 digits by which keys sort like windows: neither must change.
    private static final String KEY_PREFIX = "usage/";

    /** The key of the register that holds a window's counts. */
    public static String key(final long window) {
        return KEY_PREFIX + String.format("%019d", window);
    }

    /** The window of a register's key, or -1 if the key is not one of a window. */
    public static long windowOf(final String key) {
        return key.startsWith(KEY_PREFIX) ? Long.parseLong(key.substring(KEY_PREFIX.length())) : -1;
    }

    /** The same counts, confirmed by the platform. */
    SealedWindow asCompleted() {
        return new SealedWindow(window, counts, owner, fencingToken, true);
    }
}
