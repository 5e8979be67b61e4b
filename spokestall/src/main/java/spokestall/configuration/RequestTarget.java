package spokestall.configuration;

/**
 * A request target as received. A target is forwarded verbatim, and matched to routes only if its path is unambiguous: programs
 * that normalise paths differently must not read different paths from it.
 */
public sealed interface RequestTarget {
    /** A target with an unambiguous path, and the raw target as received. */
    record Valid(String path, String raw) implements RequestTarget {}

    /** A target without a path or with an ambiguous one, and the reason. */
    record Invalid(String reason) implements RequestTarget {}

    /** Parses a request target. A target with a fragment is invalid. */
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

    /** Returns why the character at an index is invalid, or null if it is valid. */
    private static String rejectionReason(final String raw, final int index, final boolean inPath) {
        final char c = raw.charAt(index);
        // Some programs treat a semicolon or bracket in a path as the start of a parameter, others as plain text.
        final String forbidden = inPath ? "#\\\"<>^`{|};[]" : "#\\";
        if (c <= ' ' || c >= 0x7f || forbidden.indexOf(c) >= 0) {
            return "contains an invalid character";
        }
        if (c == '%') {
            final int escaped = escapedOctet(raw, index);
            if (escaped < 0) {
                return "contains an invalid percent escape";
            }
            if (inPath && !mayBeEscaped(escaped)) {
                return "escapes a character that must not be escaped";
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

    /** Returns the octet of the escape at an index, or -1 if the percent sign isn't followed by two hex digits. */
    private static int escapedOctet(final String raw, final int index) {
        if (index + 2 >= raw.length()) {
            return -1;
        }
        final int high = Character.digit(raw.charAt(index + 1), 16);
        final int low = Character.digit(raw.charAt(index + 2), 16);
        return high < 0 || low < 0 ? -1 : high * 16 + low;
    }

    /**
     * Returns whether an octet may be escaped in a path. Control characters and path or segment separators may not; neither may
     * unreserved characters, which need no escape and would otherwise have two spellings.
     */
    private static boolean mayBeEscaped(final int c) {
        final boolean unreserved =
                c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "-._~".indexOf(c) >= 0;
        return c >= ' ' && c != 0x7f && c != '/' && c != '\\' && c != ';' && !unreserved;
    }
}
