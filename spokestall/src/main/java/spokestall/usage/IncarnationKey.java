package spokestall.usage;

/** Combines an edge's name and incarnation into one key: {@code name#incarnation}, with the incarnation in hexadecimal. */
final class IncarnationKey {
    private static final char SEPARATOR = '#';
    private static final int RADIX = 16;

    private IncarnationKey() {}

    static String of(final String edge, final long incarnation) {
        return edge + SEPARATOR + Long.toHexString(incarnation);
    }

    static String edge(final String key) {
        return key.substring(0, key.lastIndexOf(SEPARATOR));
    }

    static long incarnation(final String key) {
        return Long.parseUnsignedLong(key.substring(key.lastIndexOf(SEPARATOR) + 1), RADIX);
    }
}
