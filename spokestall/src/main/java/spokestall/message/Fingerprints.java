package spokestall.message;

/**
 * 64-bit fingerprints of texts, so that messages can compare long texts by one number. They are part of messages, so their
 * values must stay. Not for untrusted input: equal fingerprints of different texts are easy to construct.
 */
public final class Fingerprints {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Fingerprints() {}

    /** Returns a text's fingerprint, FNV-1a over its UTF-16 code units with the upper half folded in; never zero. */
    public static long of(final String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }
}
