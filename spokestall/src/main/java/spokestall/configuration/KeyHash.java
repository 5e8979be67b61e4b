package spokestall.configuration;

import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.LoadingCache;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Keys are kept as hashes only. */
public final class KeyHash {
    private static final LoadingCache<String, String> SEEN = Caffeine.newBuilder()
            .maximumSize(10_000)
            .executor(Runnable::run)
            .build(key -> hex(key.getBytes(StandardCharsets.UTF_8)));

    private KeyHash() {}

    /** Example: {@code KeyHash.of("k-123").length() == 64} */
    public static String of(final String key) {
        return SEEN.get(key);
    }

    /** The SHA-256 of some bytes. */
    public static String hex(final byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
