package spokestall.configuration;

import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.LoadingCache;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes tenants' keys. Configurations contain only the hashes, never the keys. Thread-safe. */
public final class KeyHash {
    private static final int CACHED_KEYS_MAX = 10_000;
    private static final LoadingCache<String, String> CACHE = Caffeine.newBuilder()
            .maximumSize(CACHED_KEYS_MAX)
            .executor(Runnable::run)
            .build(key -> hex(key.getBytes(StandardCharsets.UTF_8)));

    private KeyHash() {}

    /** Returns the SHA-256 of a key's UTF-8 bytes as 64 lower-case hex digits, cached. */
    public static String of(final String key) {
        return CACHE.get(key);
    }

    /** Returns the SHA-256 of the bytes as 64 lower-case hex digits. */
    public static String hex(final byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java platform does not provide SHA-256", e);
        }
    }
}
