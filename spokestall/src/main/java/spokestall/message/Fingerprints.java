package spokestall.message;

/** Long texts as one number each, to be compared in their place. */
public final class Fingerprints {
    private Fingerprints() {}

    /** Never zero. */
    public static long of(final String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        h ^= h >>> 32;
        return h == 0 ? 1 : h;
    }
}
