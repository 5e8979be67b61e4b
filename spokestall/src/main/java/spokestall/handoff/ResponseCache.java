package spokestall.handoff;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;

/**
 * Responses of idempotent requests, by the claim's key, in memory. Bounded by bytes; what is little used is evicted first.
 *
 * <p>All calls on the node's event loop; evictions run on the caller's thread, so that a run can be repeated exactly.
 */
public final class ResponseCache {
    /** What an entry is taken to cost besides its key, body and headers. */
    private static final int ENTRY_OVERHEAD_BYTES = 256;
    /** What a header is taken to cost, name and value together. */
    private static final int HEADER_BYTES = 64;

    private final Cache<String, HandoffMessage.Store> responses;

    /** Creates an empty cache that holds about so many bytes at most. */
    public ResponseCache(final long maxBytes) {
        responses = Caffeine.newBuilder()
                .maximumWeight(maxBytes)
                .executor(Runnable::run)
                .weigher(ResponseCache::weightBytes)
                .build();
    }

    private static int weightBytes(final String key, final HandoffMessage.Store response) {
        return ENTRY_OVERHEAD_BYTES
                + key.length()
                + response.content().body().length
                + HEADER_BYTES * response.content().headers().size();
    }

    /** Stores a response, in place of any other with its key. */
    public void put(final HandoffMessage.Store response) {
        responses.put(response.key(), response);
    }

    /** Returns the response with this key, if there is one and it has this digest. */
    public Optional<HandoffMessage.Store> find(final String key, final String digest) {
        return Optional.ofNullable(responses.getIfPresent(key))
                .filter(response -> response.digest().equals(digest));
    }
}
