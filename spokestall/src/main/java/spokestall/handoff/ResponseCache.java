package spokestall.handoff;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/** Answers kept in memory, bounded by their bytes; the oldest used go first. */
public final class ResponseCache {
    private final Cache<String, HandoffMessage.Store> kept;

    /** Example: {@code new ResponseCache(16 << 20)} */
    public ResponseCache(final long bytesMax) {
        kept = Caffeine.newBuilder()
                .maximumWeight(bytesMax)
                .executor(Runnable::run)
                .weigher((String k, HandoffMessage.Store v) -> 256
                        + k.length()
                        + v.content().body().length
                        + 64 * v.content().headers().size())
                .build();
    }

    /** Example: {@code responseCache.keep(message);} */
    public void keep(final HandoffMessage.Store answer) {
        kept.put(answer.key(), answer);
    }

    /** The answer if it is the one with this digest, else null. */
    public HandoffMessage.Store find(final String key, final String digest) {
        final HandoffMessage.Store found = kept.getIfPresent(key);
        return found != null && found.digest().equals(digest) ? found : null;
    }
}
