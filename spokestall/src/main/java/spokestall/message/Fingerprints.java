package spokestall.message;

/**
 * 64-bit fingerprints of strings, so that messages can compare long strings by one number. Fingerprints are part of
 * messages, so their values must not change. Not for untrusted input: different strings with equal fingerprints are
 * easy to construct.
 */
public final class Fingerprints {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Fingerprints() {}

    /**
     * Returns a string's fingerprint: FNV-1a over its UTF-16 code units, with the upper half folded into the lower.
     * Never zero.
     */
    public static long of(final String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }
}
