package spokestall.configuration;

/**
 * An ask's target as it came. It is forwarded to the letter, and matched only if its path can be read in one way: two
 * programs that each tidy a path after their own manner must not see two different paths in it.
 */
public sealed interface RequestTarget {
    /** A path with one reading, and the whole target as it came. */
    record Good(String path, String raw) implements RequestTarget {}

    /** No path, or one that can be read in two ways. */
    record Bad(String why) implements RequestTarget {}

    /** Reads a request target. */
    static RequestTarget of(final String raw) {
        final int mark = raw.indexOf('?');
        final String path = mark < 0 ? raw : raw.substring(0, mark);
        if (!path.startsWith("/")) {
            return new Bad("must begin with a slash");
        }
        for (int i = 0; i < raw.length(); i++) {
            final boolean inPath = mark < 0 || i < mark;
            final char c = raw.charAt(i);
            if (c <= ' '
                    || c >= 0x7f
                    || "#\\\"<>^`{|}".indexOf(c) >= 0 && (inPath || c == '#' || c == '\\')
                    || inPath && (c == ';' || c == '[' || c == ']')) {
                return new Bad("has a character that may not stand there");
            }
            if (c == '%') {
                final int escaped = escaped(raw, i);
                if (escaped < 0) {
                    return new Bad("has a bad escape");
                }
                if (inPath && !mayBeEscaped(escaped)) {
                    return new Bad("escapes what must not be escaped");
                }
            }
        }
        for (int at = 0; at >= 0; ) {
            final int end = path.indexOf('/', at + 1);
            final String segment = path.substring(at + 1, end < 0 ? path.length() : end);
            if (segment.equals(".") || segment.equals("..") || segment.isEmpty() && end >= 0) {
                return new Bad("has an empty or dot segment");
            }
            at = end;
        }
        return new Good(path, raw);
    }

    private static int escaped(final String raw, final int at) {
        if (at + 2 >= raw.length()) {
            return -1;
        }
        final int high = Character.digit(raw.charAt(at + 1), 16);
        final int low = Character.digit(raw.charAt(at + 2), 16);
        return high < 0 || low < 0 ? -1 : high * 16 + low;
    }

    /** Neither controls, nor what splits a path or a segment, nor what need not be escaped. */
    private static boolean mayBeEscaped(final int c) {
        final boolean plain =
                c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "-._~".indexOf(c) >= 0;
        return c >= ' ' && c != 0x7f && c != '/' && c != '\\' && c != ';' && !plain;
    }
}
