package spokestall.usage;

import java.util.Map;

/** A window's counts, written once; later only that they were reported is added. */
public record SealedWindow(long window, Map<String, Long> counts, String by, long fencingToken, boolean completed) {
    /** The register's key. */
    public static String key(final long window) {
        return "usage/" + String.format("%019d", window);
    }

    /** The window of a key, or -1. */
    public static long windowOf(final String key) {
        return key.startsWith("usage/") ? Long.parseLong(key.substring(6)) : -1;
    }

    SealedWindow complete() {
        return new SealedWindow(window, counts, by, fencingToken, true);
    }
}
