package spokestall.configuration;

/**
 * A request's target as it was received. It is forwarded verbatim, and matched only if its path has a single reading: two
 * programs that normalise a path in different ways must not see two different paths in it.
 */
public sealed interface RequestTarget {
    /** A target whose path has a single reading, and the target as it was received. */
    record Valid(String path, String raw) implements RequestTarget {}

    /** A target without a path, or whose path has more than one reading, and why. */
    record Invalid(String reason) implements RequestTarget {}

    /** Reads a request target; the fragment is no part of it. */
    static RequestTarget of(final String raw) {
        final int queryMark = raw.indexOf('?');
        final int pathEnd = queryMark < 0 ? raw.length() : queryMark;
        if (!raw.startsWith("/")) {
            return new Invalid("must begin with a slash");
        }
        for (int i = 0; i < raw.length(); i++) {
            final String reason = rejectionReason(raw, i, i < pathEnd);
            if (reason != null) {
                return new Invalid(reason);
            }
        }
        final String path = raw.substring(0, pathEnd);
        return hasEmptyOrDotSegment(path) ? new Invalid("has an empty or dot segment") : new Valid(path, raw);
    }

    /** Returns why the character at an index isn't accepted, or null if it is. */
    private static String rejectionReason(final String raw, final int index, final boolean inPath) {
        final char c = raw.charAt(index);
        // A semicolon or bracket in a path begins a parameter for some programs and is plain text for others.
        final String forbidden = inPath ? "#\\\"<>^`{|};[]" : "#\\";
        if (c <= ' ' || c >= 0x7f || forbidden.indexOf(c) >= 0) {
            return "has a character that may not stand there";
        }
        if (c == '%') {
            final int escaped = escapedOctet(raw, index);
            if (escaped < 0) {
                return "has a bad escape";
            }
            if (inPath && !mayBeEscaped(escaped)) {
                return "escapes what must not be escaped";
            }
        }
        return null;
    }

    private static boolean hasEmptyOrDotSegment(final String path) {
        for (int slash = 0; slash >= 0; ) {
            final int next = path.indexOf('/', slash + 1);
            final String segment = path.substring(slash + 1, next < 0 ? path.length() : next);
            if (segment.equals(".") || segment.equals("..") || segment.isEmpty() && next >= 0) {
                return true;
            }
            slash = next;
        }
        return false;
    }

    /** Returns the octet that is escaped at an index, or -1 if no two hex digits follow. */
    private static int escapedOctet(final String raw, final int index) {
        if (index + 2 >= raw.length()) {
            return -1;
        }
        final int high = Character.digit(raw.charAt(index + 1), 16);
        final int low = Character.digit(raw.charAt(index + 2), 16);
        return high < 0 || low < 0 ? -1 : high * 16 + low;
    }

    /** Neither controls, nor what separates paths or segments, nor what needs no escape and so has two spellings. */
    private static boolean mayBeEscaped(final int c) {
        final boolean unreserved =
                c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "-._~".indexOf(c) >= 0;
        return c >= ' ' && c != 0x7f && c != '/' && c != '\\' && c != ';' && !unreserved;
    }
}
